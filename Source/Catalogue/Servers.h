#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Takes the changes of backend servers' entries into account. Returns whether
/// there were any.
bool ApplyServers(Context& aContext, const TableAnswer& aAnswer);

/// Gives servers whose entries lapsed while the store was away the time to
/// write them again.
void RestartMissingGrace(Context& aContext);

/// Forgets servers whose entries have been missing for too long.
void RemoveMissingServers(Context& aContext);

}
