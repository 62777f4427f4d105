#pragma once

#include "Gateway/Context.h"
#include "Gateway/Event.h"

namespace camphorstep::gateway {

/// Takes the next step of a change of primary, or starts one if there is a
/// reason. Does nothing on a host that does not hold the promoter's lease.
void AdvanceTakeover(Context& aContext, Group& aGroup);

void HandlePromoteAnswered(Context& aContext, const PromoteAnswered& aEvent);

}
