#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Takes the changes of hosts' entries into account. Returns whether there
/// were any.
bool ApplyHosts(Context& aContext, const TableAnswer& aAnswer);

}
