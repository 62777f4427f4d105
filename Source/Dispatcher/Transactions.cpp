#include "Dispatcher/Transactions.h"

#include <vector>

#include "Dispatcher/ConnectionPool.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// How long a caller whose entry host was lost has to continue its transaction
/// through another host.
constexpr Duration kOrphanedTransactionTimeout = std::chrono::seconds(1);

bool
EndsTransaction(ServerOperation aOperation)
{
  return aOperation == ServerOperation::Commit ||
         aOperation == ServerOperation::Rollback;
}

/// The state of a connection's transaction after a reply.
enum class TransactionState : std::uint8_t
{
  None,
  Open,
  /// The transaction may still be open on the server.
  InDoubt
};

TransactionState
StateAfter(const ServerConnection& aConnection,
           ServerOperation aOperation,
           ServerStatus aStatus)
{
  if (aStatus == ServerStatus::Malformed) {
    return TransactionState::InDoubt;
  }
  if (aOperation == ServerOperation::Begin) {
    return aStatus == ServerStatus::Ok ? TransactionState::Open
                                       : TransactionState::None;
  }
  if (aConnection.mTransaction == TransactionId{}) {
    return TransactionState::None;
  }
  if (aStatus == ServerStatus::NoTransaction) {
    return TransactionState::None;
  }
  // A busy server has not processed the request.
  if (!EndsTransaction(aOperation) || aStatus == ServerStatus::Busy) {
    return TransactionState::Open;
  }
  const bool ended =
    aStatus == ServerStatus::Ok || aStatus == ServerStatus::Replayed;
  return ended ? TransactionState::None : TransactionState::InDoubt;
}

bool
IsHostLost(const Context& aContext, HostId aHost)
{
  const auto& peers = aContext.mState.mMembership.mPeers;
  const auto it = peers.find(aHost);
  return it != peers.end() && !it->second.mConnected;
}

void
Open(Context& aContext,
     ServerDispatch& aDispatch,
     ConnectionId aId,
     const QueuedRequest& aQueued)
{
  ServerConnection& connection = aDispatch.mConnections.at(aId);
  connection.mTransaction = aQueued.mRequest.mId;
  connection.mTransactionRank = aQueued.mRequest.mRank;
  connection.mTransactionIdleTimeout = aQueued.mRequest.mTransactionIdleTimeout;
  NoteTransactionHost(connection, aQueued.mOrigin);
  if (IsHostLost(aContext, aQueued.mOrigin)) {
    connection.mOrphanedAt = aContext.mNow;
  }
  aDispatch.mTransactions.emplace(aQueued.mRequest.mId, aId);
}

/// Abandons the transactions of a lost entry host at one server.
void
AbandonTransactionsAt(Context& aContext,
                      ServerDispatch& aDispatch,
                      HostId aHost)
{
  std::vector<ConnectionId> abandoned;
  for (auto& [id, connection] : aDispatch.mConnections) {
    const bool isTransaction =
      connection.mTransaction != TransactionId{} ||
      (connection.mActive && connection.mActive->mQueued.mRequest.mOperation ==
                               ServerOperation::Begin);
    if (!isTransaction) {
      continue;
    }
    if (connection.mActive && connection.mActive->mQueued.mOrigin == aHost) {
      abandoned.push_back(id);
    } else if (connection.mTransactionHost == aHost) {
      connection.mOrphanedAt = aContext.mNow;
    }
  }
  for (const ConnectionId id : abandoned) {
    --aDispatch.mRunning;
    DropConnection(aContext, aDispatch, id);
  }
}

}

void
FinishRequestOnConnection(Context& aContext,
                          ServerDispatch& aDispatch,
                          ConnectionId aId,
                          const QueuedRequest& aQueued,
                          ServerStatus aStatus)
{
  ServerConnection& connection = aDispatch.mConnections.at(aId);
  const ServerOperation operation = aQueued.mRequest.mOperation;
  switch (StateAfter(connection, operation, aStatus)) {
    case TransactionState::InDoubt:
      DropConnection(aContext, aDispatch, aId);
      return;
    case TransactionState::Open:
      if (operation == ServerOperation::Begin) {
        Open(aContext, aDispatch, aId, aQueued);
      }
      EnterPhase(aContext, connection, ConnectionPhase::InTransaction);
      return;
    case TransactionState::None:
      aDispatch.mTransactions.erase(connection.mTransaction);
      connection.mTransaction = TransactionId{};
      EnterPhase(aContext, connection, ConnectionPhase::Idle);
      return;
  }
}

void
NoteTransactionHost(ServerConnection& aConnection, HostId aHost)
{
  aConnection.mTransactionHost = aHost;
  aConnection.mOrphanedAt.reset();
}

bool
IsTransactionOverdue(const Context& aContext,
                     const ServerConnection& aConnection)
{
  if (aConnection.mPhase != ConnectionPhase::InTransaction) {
    return false;
  }
  const Duration idle = aContext.mNow - aConnection.mPhaseSince;
  return idle > aConnection.mTransactionIdleTimeout ||
         (aConnection.mOrphanedAt && aContext.mNow - *aConnection.mOrphanedAt >
                                       kOrphanedTransactionTimeout);
}

bool
AbandonTransaction(Context& aContext,
                   ServerDispatch& aDispatch,
                   TransactionId aTransaction)
{
  const auto it = aDispatch.mTransactions.find(aTransaction);
  if (it == aDispatch.mTransactions.end()) {
    return false;
  }
  const ConnectionId id = it->second;
  if (aDispatch.mConnections.at(id).mActive) {
    --aDispatch.mRunning;
  }
  DropConnection(aContext, aDispatch, id);
  return true;
}

void
AbandonTransactionsOf(Context& aContext, HostId aHost)
{
  for (auto& [server, dispatch] : aContext.mState.mDispatcher.mServers) {
    AbandonTransactionsAt(aContext, dispatch, aHost);
  }
}

}
