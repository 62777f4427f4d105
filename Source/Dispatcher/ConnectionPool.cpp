#include "Dispatcher/ConnectionPool.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Dispatcher/Liveness.h"
#include "Dispatcher/Queue.h"
#include "Dispatcher/TransactionCaps.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// Limits concurrent openings, since opening a connection is slow and loads the
/// server.
constexpr int kMaxOpening = 2;
/// Delay after a failed opening, doubled with each further failure.
constexpr Duration kMinReopenDelay = std::chrono::milliseconds(50);
constexpr Duration kMaxReopenDelay = std::chrono::milliseconds(500);
constexpr int kMaxReopenDoublings = 4;
/// The least number of connections for statements to a server in use.
constexpr int kMinStatementConnections = 2;
/// Idle connections above that minimum are closed after this time.
constexpr Duration kSurplusIdleTimeout = std::chrono::seconds(10);
/// Idle connections to a server without requests for this time are closed.
constexpr Duration kUnusedServerTimeout = std::chrono::seconds(30);

int
CountPhase(const ServerDispatch& aDispatch, ConnectionPhase aPhase)
{
  return static_cast<int>(std::count_if(aDispatch.mConnections.begin(),
                                        aDispatch.mConnections.end(),
                                        [aPhase](const auto& aItem) {
                                          return aItem.second.mPhase ==
                                                   aPhase &&
                                                 !aItem.second.mIsControl;
                                        }));
}

ConnectionId
Open(Context& aContext,
     ServerId aServer,
     ServerDispatch& aDispatch,
     bool aIsControl)
{
  DispatcherState& dispatcher = aContext.mState.mDispatcher;
  const ConnectionId id{ ++dispatcher.mLastConnection };
  ServerConnection connection;
  connection.mServer = aServer;
  connection.mIsControl = aIsControl;
  connection.mPhaseSince = aContext.mNow;
  connection.mOpenedAt = aContext.mNow;
  connection.mLastReplyAt = aContext.mNow;
  connection.mLastStatementAt = aContext.mNow;
  aDispatch.mConnections.emplace(id, connection);
  dispatcher.mServerOfConnection.emplace(id, aServer);
  ++aContext.mState.mCounters.mConnectionsOpened;
  Emit(aContext, OpenConnection{ id, aServer });
  return id;
}

/// Opens connections for statements until aWanted are being opened, within the
/// limits of concurrent openings and of the pool.
void
OpenUpTo(Context& aContext,
         ServerId aServer,
         ServerDispatch& aDispatch,
         int aWanted)
{
  if (aContext.mNow < aDispatch.mOpenAfter) {
    return;
  }
  const Server* const server = aContext.mState.mTopology.FindServer(aServer);
  const int limit = PoolLimit(*server);
  int open = static_cast<int>(aDispatch.mConnections.size());
  int opening = CountPhase(aDispatch, ConnectionPhase::Opening);
  while (opening < std::min(aWanted, kMaxOpening) && open < limit) {
    Open(aContext, aServer, aDispatch, false);
    ++opening;
    ++open;
  }
}

/// Counts the connections for statements, including those being opened, that
/// have no late probe.
int
CountUsable(const Context& aContext, const ServerDispatch& aDispatch)
{
  return static_cast<int>(std::count_if(
    aDispatch.mConnections.begin(),
    aDispatch.mConnections.end(),
    [&aContext](const auto& aItem) {
      return !aItem.second.mIsControl && !IsProbeLate(aContext, aItem.second);
    }));
}

/// Returns the connections that have been idle for longer than the limit, least
/// recently used first.
std::vector<ConnectionId>
FindSurplus(const Context& aContext, const ServerDispatch& aDispatch)
{
  std::vector<std::pair<Instant, ConnectionId>> idle;
  for (const auto& [id, connection] : aDispatch.mConnections) {
    if (connection.mPhase == ConnectionPhase::Idle && !connection.mIsControl &&
        aContext.mNow - connection.mLastStatementAt > kSurplusIdleTimeout) {
      idle.emplace_back(connection.mLastStatementAt, id);
    }
  }
  std::sort(idle.begin(), idle.end());
  std::vector<ConnectionId> ids;
  for (const auto& [since, id] : idle) {
    ids.push_back(id);
  }
  return ids;
}

void
CloseIdleConnections(Context& aContext, ServerDispatch& aDispatch)
{
  std::vector<ConnectionId> ids;
  for (const auto& [id, connection] : aDispatch.mConnections) {
    if (connection.mPhase == ConnectionPhase::Idle) {
      ids.push_back(id);
    }
  }
  for (const ConnectionId id : ids) {
    DropConnection(aContext, aDispatch, id);
  }
}

}

void
GrowPool(Context& aContext, ServerId aServer, ServerDispatch& aDispatch)
{
  const int wanted = static_cast<int>(CountQueued(aDispatch)) -
                     CountPhase(aDispatch, ConnectionPhase::Idle);
  OpenUpTo(aContext, aServer, aDispatch, wanted);
}

void
MaintainPoolSize(Context& aContext, ServerId aServer, ServerDispatch& aDispatch)
{
  if (aContext.mNow - aDispatch.mLastUsed > kUnusedServerTimeout) {
    CloseIdleConnections(aContext, aDispatch);
    return;
  }
  const int usable = CountUsable(aContext, aDispatch);
  if (usable < kMinStatementConnections) {
    const int opening = CountPhase(aDispatch, ConnectionPhase::Opening);
    OpenUpTo(aContext,
             aServer,
             aDispatch,
             opening + kMinStatementConnections - usable);
    return;
  }
  int surplus = usable - kMinStatementConnections;
  for (const ConnectionId id : FindSurplus(aContext, aDispatch)) {
    if (surplus-- <= 0) {
      return;
    }
    DropConnection(aContext, aDispatch, id);
  }
}

void
NoteFailedOpening(const Context& aContext, ServerDispatch& aDispatch)
{
  const int doublings =
    std::min(aDispatch.mFailedOpenings++, kMaxReopenDoublings);
  const Duration delay =
    std::min(kMaxReopenDelay, kMinReopenDelay * (1 << doublings));
  aDispatch.mOpenAfter = aContext.mNow + delay;
}

void
EnsureControlConnection(Context& aContext,
                        ServerId aServer,
                        ServerDispatch& aDispatch)
{
  if (!aDispatch.mConnections.contains(aDispatch.mControlConnection) &&
      aContext.mNow >= aDispatch.mOpenAfter) {
    aDispatch.mControlConnection = Open(aContext, aServer, aDispatch, true);
  }
}

std::optional<ConnectionId>
FindIdle(const ServerDispatch& aDispatch)
{
  std::optional<ConnectionId> best;
  Instant bestUsedAt{};
  for (const auto& [id, connection] : aDispatch.mConnections) {
    const bool isFree =
      connection.mPhase == ConnectionPhase::Idle && !connection.mIsControl;
    if (isFree && (!best || connection.mLastStatementAt > bestUsedAt)) {
      best = id;
      bestUsedAt = connection.mLastStatementAt;
    }
  }
  return best;
}

void
RemoveConnection(Context& aContext,
                 ServerDispatch& aDispatch,
                 ConnectionId aConnection)
{
  const auto it = aDispatch.mConnections.find(aConnection);
  if (it == aDispatch.mConnections.end()) {
    return;
  }
  if (it->second.mTransaction != TransactionId{}) {
    aDispatch.mTransactions.erase(it->second.mTransaction);
  }
  aDispatch.mConnections.erase(it);
  aContext.mState.mDispatcher.mServerOfConnection.erase(aConnection);
}

void
DropConnection(Context& aContext,
               ServerDispatch& aDispatch,
               ConnectionId aConnection)
{
  RemoveConnection(aContext, aDispatch, aConnection);
  Emit(aContext, CloseConnection{ aConnection });
}

void
SendHello(Context& aContext, ConnectionId aId, ServerConnection& aConnection)
{
  ServerRequest hello;
  hello.mId = NewRequestId(aContext);
  hello.mOperation = ServerOperation::Hello;
  aConnection.mProbe = hello.mId;
  aConnection.mProbeSentAt = aContext.mNow;
  Emit(aContext, SendToServer{ aId, hello });
}

void
EnterPhase(const Context& aContext,
           ServerConnection& aConnection,
           ConnectionPhase aPhase)
{
  aConnection.mPhase = aPhase;
  aConnection.mPhaseSince = aContext.mNow;
}

}
