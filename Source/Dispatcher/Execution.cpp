#include "Dispatcher/Execution.h"

#include "Dispatcher/Answers.h"
#include "Dispatcher/Arrivals.h"
#include "Dispatcher/ConnectionPool.h"
#include "Dispatcher/Liveness.h"
#include "Dispatcher/Probing.h"
#include "Dispatcher/Queue.h"
#include "Dispatcher/Scheduler.h"
#include "Dispatcher/TransactionCaps.h"
#include "Dispatcher/Transactions.h"
#include "Keeper/HeldAnswers.h"
#include "Keeper/Keeper.h"
#include "Reducer/Context.h"
#include "Reducer/SeededFaults.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

ServerRequest
MakeServerRequest(Context& aContext, const ForwardRequest& aRequest)
{
  ServerRequest request;
  request.mId = NewRequestId(aContext);
  request.mOperation = aRequest.mOperation;
  request.mText = aRequest.mText;
  request.mWrite = aRequest.mWrite;
  request.mKey = aRequest.mKey;
  request.mMinPosition = aRequest.mMinPosition;
  return request;
}

/// The term at which the server must run a request: that of its transaction, or
/// the latest known. Zero if the request does not need the primary.
Term
TermFor(const Context& aContext,
        const ServerConnection& aConnection,
        const ForwardRequest& aRequest)
{
  if (!aRequest.mNeedsPrimary) {
    return 0;
  }
  if (aRequest.mTransaction != TransactionId{}) {
    return aConnection.mTransactionTerm;
  }
  const Server* const server =
    aContext.mState.mTopology.FindServer(aRequest.mServer);
  return TermOf(aContext.mState, server->mDatabase);
}

/// Sends a request on a connection.
void
Execute(Context& aContext,
        ServerDispatch& aDispatch,
        ConnectionId aId,
        QueuedRequest aQueued)
{
  ServerConnection& connection = aDispatch.mConnections.at(aId);
  ServerRequest request = MakeServerRequest(aContext, aQueued.mRequest);
  request.mTerm = TermFor(aContext, connection, aQueued.mRequest);
  connection.mTransactionTerm = request.mTerm;
  EnterPhase(aContext, connection, ConnectionPhase::Busy);
  connection.mActive =
    ActiveRequest{ std::move(aQueued), request.mId, aContext.mNow };
  connection.mLastStatementAt = aContext.mNow;
  ++aDispatch.mRunning;
  Emit(aContext, SendToServer{ aId, std::move(request) });
}

auto
FindTransaction(ServerDispatch& aDispatch, const TransactionId& aTransaction)
{
  return IsSeeded(SeededFault::MixTransactions)
           ? aDispatch.mTransactions.begin()
           : aDispatch.mTransactions.find(aTransaction);
}

/// Starts a request that the scheduler has chosen, or refuses it.
void
StartChosen(Context& aContext,
            const Server& aServer,
            ServerDispatch& aDispatch,
            std::optional<ConnectionId> aIdle,
            QueuedRequest aQueued)
{
  const ForwardRequest& request = aQueued.mRequest;
  const auto refuse = [&](ResultCode aCode) {
    AnswerFailure(aContext, aDispatch, aQueued, aCode, Outcome::NotRun);
  };
  if (request.mTransaction != TransactionId{}) {
    const auto it = FindTransaction(aDispatch, request.mTransaction);
    if (it == aDispatch.mTransactions.end()) {
      refuse(ResultCode::UnknownTransaction);
      return;
    }
    if (aDispatch.mConnections.at(it->second).mPhase !=
        ConnectionPhase::InTransaction) {
      refuse(ResultCode::Overloaded);
      return;
    }
    Execute(aContext, aDispatch, it->second, std::move(aQueued));
    return;
  }
  const Configuration& configuration = aContext.mState.mConfiguration.mCurrent;
  if (request.mOperation == ServerOperation::Begin &&
      !CanBeginTransaction(aDispatch, aServer, configuration, request.mRank)) {
    AwaitTransactionCap(aContext, aDispatch, std::move(aQueued));
    return;
  }
  Execute(aContext, aDispatch, *aIdle, std::move(aQueued));
}

/// Updates the scheduler and the concurrency limit after a reply.
void
NoteSlotTime(Context& aContext,
             ServerDispatch& aDispatch,
             ServerId aServer,
             const ActiveRequest& aActive,
             ServerStatus aStatus)
{
  const State& state = aContext.mState;
  const int slots = state.mTopology.FindServer(aServer)->mSlots;
  const Configuration& configuration = state.mConfiguration.mCurrent;
  const Duration held = aContext.mNow - aActive.mSentAt;
  if (aStatus == ServerStatus::Busy) {
    NoteRefusal(aDispatch.mLimit, aContext.mNow);
    return;
  }
  SettleCharge(aDispatch.mScheduler, configuration, aActive.mQueued, held);
  // The completed request is no longer counted in mRunning.
  const bool saturated =
    aDispatch.mRunning + 1 >=
    LimitOf(aDispatch.mLimit, slots, configuration.mPolicy.mAdaptiveLimit);
  if (aStatus == ServerStatus::Ok) {
    NoteLatency(aDispatch.mLimit, aContext.mNow, held, saturated, slots);
  }
}

}

void
StartQueuedRequests(Context& aContext,
                    ServerId aServer,
                    ServerDispatch& aDispatch)
{
  const State& state = aContext.mState;
  const Server& server = *state.mTopology.FindServer(aServer);
  const Configuration& configuration = state.mConfiguration.mCurrent;
  QueueReadsAtPosition(aContext, aDispatch);
  QueueTransactionsUnderCap(aContext, aDispatch);
  for (;;) {
    const std::optional<ConnectionId> idle = FindIdle(aDispatch);
    FreeResources free;
    free.mLimit = LimitOf(
      aDispatch.mLimit, server.mSlots, configuration.mPolicy.mAdaptiveLimit);
    free.mRunning = aDispatch.mRunning;
    free.mConnection = idle.has_value();
    Choice choice =
      ChooseNext(aDispatch.mScheduler, configuration, free, aContext.mNow);
    for (const QueuedRequest& unmeetable : choice.mUnmeetable) {
      AnswerFailure(aContext,
                    aDispatch,
                    unmeetable,
                    ResultCode::DeadlineExceeded,
                    Outcome::NotRun);
    }
    if (choice.mStartDelay) {
      Emit(aContext, WakeAfter{ *choice.mStartDelay });
    }
    if (!choice.mNext) {
      break;
    }
    StartChosen(aContext, server, aDispatch, idle, std::move(*choice.mNext));
  }
  GrowPool(aContext, aServer, aDispatch);
}

void
ExecuteInTransaction(Context& aContext,
                     ServerDispatch& aDispatch,
                     const QueuedRequest& aQueued)
{
  const auto it = FindTransaction(aDispatch, aQueued.mRequest.mTransaction);
  if (it == aDispatch.mTransactions.end()) {
    AnswerFailure(aContext,
                  aDispatch,
                  aQueued,
                  ResultCode::UnknownTransaction,
                  Outcome::NotRun);
    return;
  }
  ServerConnection& connection = aDispatch.mConnections.at(it->second);
  if (connection.mPhase != ConnectionPhase::InTransaction) {
    AnswerFailure(
      aContext, aDispatch, aQueued, ResultCode::Overloaded, Outcome::NotRun);
    return;
  }
  NoteTransactionHost(aDispatch.mConnections.at(it->second), aQueued.mOrigin);
  const ServerId server = aQueued.mRequest.mServer;
  if (!EnqueueInTransaction(aDispatch, aQueued)) {
    AnswerFailure(
      aContext, aDispatch, aQueued, ResultCode::Overloaded, Outcome::NotRun);
    return;
  }
  // Restarts the idle time: waiting for a slot does not count as idle.
  EnterPhase(aContext,
             aDispatch.mConnections.at(it->second),
             ConnectionPhase::InTransaction);
  StartQueuedRequests(aContext, server, aDispatch);
}

void
FailActive(Context& aContext,
           ServerDispatch& aDispatch,
           ServerConnection& aConnection,
           ResultCode aCode)
{
  if (!aConnection.mActive) {
    return;
  }
  const ActiveRequest active = std::move(*aConnection.mActive);
  aConnection.mActive.reset();
  --aDispatch.mRunning;
  const Outcome outcome =
    IsSeeded(SeededFault::UnknownAsNotRun) ? Outcome::NotRun : Outcome::Unknown;
  AnswerFailure(aContext, aDispatch, active.mQueued, aCode, outcome);
}

void
HandleStatementReply(Context& aContext,
                     ServerDispatch& aDispatch,
                     ConnectionId aId,
                     const ServerReply& aReply)
{
  ServerConnection& connection = aDispatch.mConnections.at(aId);
  const ActiveRequest active = std::move(*connection.mActive);
  connection.mActive.reset();
  --aDispatch.mRunning;
  NoteSlotTime(aContext, aDispatch, connection.mServer, active, aReply.mStatus);
  UpdateSample(aDispatch, connection.mServer, aReply, active.mSentAt);
  NoteConnectionReply(aContext, aDispatch, connection, active.mSentAt);
  NoteServerReply(aContext, connection.mServer, aReply, active.mSentAt);
  FinishRequestOnConnection(
    aContext, aDispatch, aId, active.mQueued, aReply.mStatus);
  AnswerWhenSafe(aContext, aDispatch, active.mQueued, aReply);
}

}
