#pragma once

#include "Keeper/KeeperState.h"
#include "Model/Ids.h"

namespace camphorstep {

struct Context;

/// Records that a request needs the primary through this host, so that the host
/// acquires the lease and keeps it for kLeaseUseTimeout.
void NoteLeaseWanted(Context& aContext, DatabaseId aDatabase);

/// Whether this host keeps the lease of a database at the moment.
bool WantsLease(const Context& aContext, const Group& aGroup);

/// Maintains the watch connections to the servers and sends the requests that
/// are due; closes them when neither the lease, a held answer nor a lagging
/// server needs them.
void MaintainWatches(Context& aContext, DatabaseId aDatabase, Group& aGroup);

/// Handles the answer of a watched server; requests its status again if held
/// answers wait for a higher log position.
void HandleWatchReply(Context& aContext,
                      ConnectionId aLink,
                      const ServerReply& aReply);

}
