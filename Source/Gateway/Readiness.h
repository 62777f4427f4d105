#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Updates the readiness that the load balancer sees. The host is ready if it
/// has a configuration and the table of servers, and is not stopping.
void UpdateReadiness(Context& aContext);

}
