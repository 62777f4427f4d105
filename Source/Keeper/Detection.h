#pragma once

#include "Keeper/KeeperState.h"
#include "Model/Ids.h"

namespace camphorstep {

struct Context;

/// Starts a promotion when the primary of a database in use has not been known
/// to be active for too long. Hosts start one after the other, ordered by
/// proximity to the primary, so that one has usually finished before the next
/// one starts.
void DetectFailure(Context& aContext, DatabaseId aDatabase, Group& aGroup);

/// Records that the primary was active at a time.
void NotePrimaryActive(Group& aGroup, Instant aActiveAt);

/// Returns how many available hosts precede this one in the order in which
/// hosts promote a server of the database.
int PromoterRank(const Context& aContext,
                 DatabaseId aDatabase,
                 const Group& aGroup);

}
