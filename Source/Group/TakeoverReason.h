#pragma once

#include <optional>

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Returns why the primary of a group is to be replaced now; nothing if it is
/// not.
std::optional<TakeoverReason> ReasonToReplace(Context& aContext, Group& aGroup);

}
