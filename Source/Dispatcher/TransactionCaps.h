#pragma once

#include "Dispatcher/DispatcherState.h"
#include "Model/Profile.h"
#include "Model/Topology.h"

namespace camphorstep {

/// The most connections that one dispatcher opens to a server for its pool. Two
/// dispatchers fit into the server's limit with room for control connections.
int PoolLimit(const Server& aServer);

/// Whether another transaction of a rank may begin. Each rank has a cap. All
/// transactions together leave as many connections as the server has slots for
/// other statements, and the less urgent ranks leave room for the most urgent.
bool CanBeginTransaction(const ServerDispatch& aDispatch,
                         const Server& aServer,
                         const Configuration& aConfiguration,
                         Rank aRank);

}
