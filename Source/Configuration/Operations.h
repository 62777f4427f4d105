#pragma once

#include "Messages/Event.h"
#include "Messages/OperatorMessage.h"

namespace camphorstep {

struct Context;

/// Starts to carry out an operator's request.
void HandleOperatorRequest(Context& aContext, const OperatorRequest& aRequest);

/// Passes an answer of the store to the operation that it belongs to.
void HandleStoreAnswered(Context& aContext, const StoreAnswered& aEvent);

}
