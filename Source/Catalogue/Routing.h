#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Puts a version of the routes in force unless a later one is.
void ApplyRouting(Context& aContext, const RoutingVersion& aVersion);

}
