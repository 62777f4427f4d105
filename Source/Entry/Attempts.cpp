#include "Entry/Attempts.h"

#include <optional>

#include "Entry/Completion.h"
#include "Entry/Failover.h"
#include "Entry/Intake.h"
#include "Entry/Retries.h"
#include "Entry/Routing.h"
#include "Entry/Views.h"
#include "Membership/Membership.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// Delay before the next attempt of a request for which no server was found.
constexpr Duration kRouteRetryDelay = std::chrono::milliseconds(10);

ServerOperation
ToServerOperation(CallerOperation aOperation)
{
  switch (aOperation) {
    case CallerOperation::Run:
      return ServerOperation::Run;
    case CallerOperation::Begin:
      return ServerOperation::Begin;
    case CallerOperation::Commit:
      return ServerOperation::Commit;
    case CallerOperation::Rollback:
      return ServerOperation::Rollback;
    case CallerOperation::Lookup:
      return ServerOperation::Lookup;
  }
  return ServerOperation::Run;
}

ForwardRequest
MakeForwardRequest(const Context& aContext,
                   RequestId aId,
                   const PendingRequest& aPending,
                   const Route& aRoute)
{
  ForwardRequest request;
  request.mId = aId;
  request.mAttempt = aPending.mAttempts;
  request.mServer = aRoute.mServer;
  request.mOperation = ToServerOperation(aPending.mCaller.mOperation);
  request.mText = aPending.mCaller.mText;
  request.mWrite = aPending.mCaller.mWrite;
  request.mKey = aPending.mCaller.mKey;
  request.mService = aPending.mCaller.mService;
  request.mRank = aPending.mProfile.mRank;
  request.mDurability = aPending.mProfile.mDurability;
  request.mNeedsPrimary = aRoute.mNeedsPrimary;
  request.mMinPosition = aRoute.mMinPosition;
  request.mReplicaWait = aPending.mProfile.mReplicaWait;
  request.mTimeLeft = aPending.mDeadline - aContext.mNow;
  request.mTransactionIdleTimeout = aPending.mProfile.mTransactionIdleTimeout;
  if (aPending.mTransaction) {
    request.mTransaction = aPending.mTransaction->mTransaction;
  }
  return request;
}

/// The destination of an attempt.
struct Target
{
  HostId mDispatcher;
  Route mRoute;
};

std::optional<Target>
ChooseTarget(const Context& aContext,
             RequestId aId,
             const PendingRequest& aPending)
{
  const State& state = aContext.mState;
  if (aPending.mTransaction) {
    const TransactionHandle& handle = *aPending.mTransaction;
    return Target{ handle.mDispatcher, Route{ handle.mServer, true, {} } };
  }
  const std::optional<Route> route =
    ChooseRoute(state, aContext.mNow, aId, aPending);
  if (!route) {
    return std::nullopt;
  }
  const std::optional<HostId> host = DispatcherOf(state, route->mServer);
  if (!host) {
    return std::nullopt;
  }
  return Target{ *host, *route };
}

bool
CanReach(const State& aState, HostId aHost)
{
  if (aHost == aState.mSelf) {
    return true;
  }
  const auto it = aState.mMembership.mPeers.find(aHost);
  return it != aState.mMembership.mPeers.end() && it->second.mConnected;
}

}

void
Attempt(Context& aContext, RequestId aId)
{
  PendingRequest& pending = aContext.mState.mEntry.mPending.at(aId);
  const HistoryMatch history =
    pending.mTransaction ? HistoryMatch::Contained
                         : MatchSessionHistory(aContext.mState, pending);
  if (history == HistoryMatch::Lost) {
    FinishWithError(aContext, aId, ResultCode::HistoryLost);
    return;
  }
  const std::optional<Target> target = history == HistoryMatch::Unknown
                                         ? std::nullopt
                                         : ChooseTarget(aContext, aId, pending);
  if (!target) {
    NoteDatabaseUse(aContext, pending.mDatabase);
    ScheduleRetry(aContext, aId, kRouteRetryDelay);
    return;
  }
  if (!CanReach(aContext.mState, target->mDispatcher)) {
    FinishWithError(aContext, aId, ResultCode::HostUnreachable);
    return;
  }
  if (!pending.mTransaction && !HasRoom(aContext.mState,
                                        aContext.mNow,
                                        pending.mProfile.mRank,
                                        pending.mCaller.mService,
                                        target->mRoute.mServer)) {
    RefuseForLoad(aContext, aId);
    return;
  }
  ++pending.mAttempts;
  pending.mDispatcher = target->mDispatcher;
  pending.mServer = target->mRoute.mServer;
  pending.mFromReplica = !target->mRoute.mNeedsPrimary;
  pending.mSentAt = aContext.mNow;
  AddInFlight(aContext.mState.mEntry, pending);
  SendTo(aContext,
         target->mDispatcher,
         MakeForwardRequest(aContext, aId, pending, target->mRoute));
}

}
