#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Puts a version of the routes in force unless that or a later one is.
/// Returns whether it did.
bool ApplyRouting(Context& aContext, const RoutingVersion& aVersion);

}
