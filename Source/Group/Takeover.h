#pragma once

#include "Gateway/Context.h"
#include "Gateway/Event.h"

namespace camphorstep::gateway {

/// Performs the next step of a takeover, or starts one if there is a reason. On
/// a host that does not hold the promoter's lease it only abandons a takeover
/// in progress.
void AdvanceTakeover(Context& aContext, Group& aGroup);

void HandlePromoteAnswered(Context& aContext, const PromoteAnswered& aEvent);

}
