#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Tells the balancer whether this host can serve: it knows the
/// configuration and the servers, and is not stopping.
void UpdateReadiness(Context& aContext);

}
