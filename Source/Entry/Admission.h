#pragma once

#include "Messages/CallerMessage.h"

namespace camphorstep {

struct Context;

/// Accepts a caller's request and makes the first attempt, or refuses it.
void HandleCallerRequest(Context& aContext, const CallerRequest& aRequest);

}
