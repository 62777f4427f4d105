#include "Dispatcher/Dispatcher.h"

#include <algorithm>
#include <vector>

#include "Dispatcher/Answers.h"
#include "Dispatcher/Arrivals.h"
#include "Dispatcher/ConnectionPool.h"
#include "Dispatcher/Execution.h"
#include "Dispatcher/Intake.h"
#include "Dispatcher/Liveness.h"
#include "Dispatcher/Probing.h"
#include "Dispatcher/Queue.h"
#include "Dispatcher/Transactions.h"
#include "Keeper/Keeper.h"
#include "Keeper/SwitchOver.h"
#include "Keeper/Watching.h"
#include "Reducer/Context.h"
#include "Reducer/SeededFaults.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// A server is probed for this long after the last request for it.
constexpr Duration kUseTimeout = std::chrono::seconds(5);

void
RefuseExpired(Context& aContext, ServerDispatch& aDispatch)
{
  for (const QueuedRequest& queued : TakeExpired(aDispatch, aContext.mNow)) {
    AnswerFailure(aContext,
                  aDispatch,
                  queued,
                  ResultCode::DeadlineExceeded,
                  Outcome::NotRun);
  }
}

void
UpdateIntakeOf(const Context& aContext,
               ServerId aServer,
               ServerDispatch& aDispatch)
{
  const State& state = aContext.mState;
  const Configuration& configuration = state.mConfiguration.mCurrent;
  const int limit = LimitOf(aDispatch.mLimit,
                            state.mTopology.FindServer(aServer)->mSlots,
                            configuration.mPolicy.mAdaptiveLimit);
  UpdateIntake(aDispatch, configuration, limit, aContext.mNow);
}

/// Requests the lease for a request that needs the primary. Returns false if
/// the request was refused or waits for a planned change of primary.
bool
AdmitToPrimary(Context& aContext,
               const ServerDispatch& aDispatch,
               const QueuedRequest& aQueued)
{
  const ServerId server = aQueued.mRequest.mServer;
  const DatabaseId database =
    aContext.mState.mTopology.FindServer(server)->mDatabase;
  NoteLeaseWanted(aContext, database);
  const std::optional<ServerId> primary = PrimaryOf(aContext.mState, database);
  if (TermOf(aContext.mState, database) != 0 && primary != server) {
    AnswerFailure(aContext,
                  aDispatch,
                  aQueued,
                  ResultCode::PrimaryChanged,
                  Outcome::NotRun);
    return false;
  }
  return !Park(aContext, aQueued);
}

/// Whether a connection carries work that only a primary can do.
bool
NeedsPrimary(const ServerConnection& aConnection)
{
  return aConnection.mTransaction != TransactionId{} ||
         (aConnection.mActive &&
          aConnection.mActive->mQueued.mRequest.mNeedsPrimary);
}

ServerDispatch*
DispatchOf(Context& aContext, ConnectionId aConnection)
{
  DispatcherState& dispatcher = aContext.mState.mDispatcher;
  const auto it = dispatcher.mServerOfConnection.find(aConnection);
  return it == dispatcher.mServerOfConnection.end()
           ? nullptr
           : &dispatcher.mServers.at(it->second);
}

}

void
HandleForwardRequest(Context& aContext,
                     HostId aFrom,
                     const ForwardRequest& aRequest)
{
  State& state = aContext.mState;
  QueuedRequest queued{
    aRequest, aFrom, aContext.mNow, aContext.mNow + aRequest.mTimeLeft
  };
  if (state.mTopology.FindServer(aRequest.mServer) == nullptr) {
    AnswerFailure(aContext,
                  ServerDispatch{},
                  queued,
                  ResultCode::UnknownDatabase,
                  Outcome::NotRun);
    return;
  }
  ServerDispatch& dispatch = state.mDispatcher.mServers[aRequest.mServer];
  dispatch.mLastUsed = aContext.mNow;
  if (aRequest.mTransaction != TransactionId{}) {
    ExecuteInTransaction(aContext, dispatch, queued);
    return;
  }
  if (aRequest.mNeedsPrimary && !AdmitToPrimary(aContext, dispatch, queued)) {
    return;
  }
  if (Admit(aContext, dispatch, std::move(queued))) {
    StartQueuedRequests(aContext, aRequest.mServer, dispatch);
  }
}

void
HandleCancelRequest(Context& aContext, const CancelRequest& aMessage)
{
  auto& servers = aContext.mState.mDispatcher.mServers;
  const auto server = servers.find(aMessage.mServer);
  if (server == servers.end() || RemoveQueued(server->second, aMessage.mId)) {
    return;
  }
  ServerDispatch& dispatch = server->second;
  if (AbandonTransaction(aContext, dispatch, aMessage.mId)) {
    return;
  }
  for (const auto& [id, connection] : dispatch.mConnections) {
    if (connection.mActive &&
        connection.mActive->mQueued.mRequest.mId == aMessage.mId) {
      --dispatch.mRunning;
      DropConnection(aContext, dispatch, id);
      return;
    }
  }
}

void
HandleServerConnected(Context& aContext, ConnectionId aConnection)
{
  ServerDispatch* const dispatch = DispatchOf(aContext, aConnection);
  if (dispatch != nullptr) {
    ServerConnection& connection = dispatch->mConnections.at(aConnection);
    SendHello(aContext, aConnection, connection);
  }
}

void
HandleServerDisconnected(Context& aContext, ConnectionId aConnection)
{
  ServerDispatch* const dispatch = DispatchOf(aContext, aConnection);
  if (dispatch == nullptr) {
    return;
  }
  ++aContext.mState.mCounters.mConnectionsLost;
  if (dispatch->mConnections.at(aConnection).mPhase ==
      ConnectionPhase::Opening) {
    NoteFailedOpening(aContext, *dispatch);
  }
  FailActive(aContext,
             *dispatch,
             dispatch->mConnections.at(aConnection),
             ResultCode::ConnectionLost);
  RemoveConnection(aContext, *dispatch, aConnection);
  if (dispatch->mConnections.empty()) {
    ResetLimit(dispatch->mLimit);
  }
}

void
HandleServerReply(Context& aContext,
                  ConnectionId aConnection,
                  const ServerReply& aReply)
{
  ServerDispatch* const dispatch = DispatchOf(aContext, aConnection);
  if (dispatch == nullptr) {
    ++aContext.mState.mCounters.mLateAnswers;
    return;
  }
  const ServerConnection& connection = dispatch->mConnections.at(aConnection);
  const ServerId server = connection.mServer;
  const bool expected =
    connection.mActive && (connection.mActive->mExchange == aReply.mId ||
                           IsSeeded(SeededFault::AcceptLateAnswer));
  if (expected) {
    HandleStatementReply(aContext, *dispatch, aConnection, aReply);
  } else if (connection.mProbe != RequestId{} &&
             connection.mProbe == aReply.mId) {
    HandleProbeReply(aContext, *dispatch, aConnection, aReply);
  } else {
    ++aContext.mState.mCounters.mLateAnswers;
    return;
  }
  StartQueuedRequests(aContext, server, *dispatch);
}

bool
IsDispatcherIdle(const DispatcherState& aDispatcher)
{
  return std::all_of(aDispatcher.mServers.begin(),
                     aDispatcher.mServers.end(),
                     [](const auto& aItem) {
                       const ServerDispatch& dispatch = aItem.second;
                       return dispatch.mRunning == 0 &&
                              dispatch.mTransactions.empty() &&
                              IsQueueEmpty(dispatch);
                     });
}

void
StartAllQueuedRequests(Context& aContext)
{
  for (auto& [server, dispatch] : aContext.mState.mDispatcher.mServers) {
    if (!IsQueueEmpty(dispatch)) {
      StartQueuedRequests(aContext, server, dispatch);
    }
  }
}

void
RefuseQueuedForPrimary(Context& aContext, ServerId aServer)
{
  auto& servers = aContext.mState.mDispatcher.mServers;
  const auto it = servers.find(aServer);
  if (it == servers.end()) {
    return;
  }
  for (const QueuedRequest& queued : TakeForPrimary(it->second)) {
    AnswerFailure(aContext,
                  it->second,
                  queued,
                  ResultCode::PrimaryChanged,
                  Outcome::NotRun);
  }
}

void
FailPrimaryRequests(Context& aContext, ServerId aServer)
{
  auto& servers = aContext.mState.mDispatcher.mServers;
  const auto it = servers.find(aServer);
  if (it == servers.end()) {
    return;
  }
  ServerDispatch& dispatch = it->second;
  std::vector<ConnectionId> stale;
  for (const auto& [id, connection] : dispatch.mConnections) {
    if (NeedsPrimary(connection)) {
      stale.push_back(id);
    }
  }
  for (const ConnectionId id : stale) {
    FailActive(aContext,
               dispatch,
               dispatch.mConnections.at(id),
               ResultCode::PrimaryChanged);
    DropConnection(aContext, dispatch, id);
  }
}

void
TickDispatcher(Context& aContext)
{
  for (auto& [server, dispatch] : aContext.mState.mDispatcher.mServers) {
    RefuseExpired(aContext, dispatch);
    UpdateIntakeOf(aContext, server, dispatch);
    DropOverdueConnections(aContext, dispatch);
    if (aContext.mNow - dispatch.mLastUsed < kUseTimeout) {
      EnsureControlConnection(aContext, server, dispatch);
      Probe(aContext, dispatch);
      ProbeIdleConnections(aContext, dispatch);
    }
    MaintainPoolSize(aContext, server, dispatch);
    StartQueuedRequests(aContext, server, dispatch);
  }
}

}
