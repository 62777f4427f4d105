#include "Entry/Retries.h"

#include "Entry/Attempts.h"
#include "Entry/Failover.h"
#include "Entry/Intake.h"
#include "Entry/RetryBudget.h"
#include "Reducer/Context.h"
#include "Reducer/SeededFaults.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// Short, because the new primary is usually known already or soon.
constexpr Duration kPrimaryChangedDelay = std::chrono::milliseconds(10);

}

void
ScheduleRetry(Context& aContext, RequestId aId, Duration aDelay)
{
  aContext.mState.mEntry.mRetries.emplace(aContext.mNow + aDelay, aId);
}

bool
CanRetry(const Context& aContext,
         const PendingRequest& aPending,
         const ForwardAnswer& aAnswer)
{
  if (aPending.mTransaction) {
    return false;
  }
  // A server that is not the primary refused the request: nothing ran, and the
  // limit of attempts does not apply, since the next one waits for the new
  // primary.
  const bool refused = aAnswer.mOutcome == Outcome::NotRun &&
                       aAnswer.mCode == ResultCode::PrimaryChanged;
  if (!refused && aPending.mAttempts >= aPending.mProfile.mRetry.mMaxAttempts) {
    return false;
  }
  const bool notRun =
    aAnswer.mOutcome == Outcome::NotRun && !aPending.mMayHaveRun;
  const bool safe = aPending.mCaller.mIdempotent || !aPending.mCaller.mWrite ||
                    notRun || IsKeyedWrite(aPending) ||
                    IsSeeded(SeededFault::ResendWrite);
  if (!safe || aContext.mNow >= aPending.mDeadline) {
    return false;
  }
  if (CostsRetryBudget(aAnswer.mCode) &&
      !HasRetryBudget(aContext.mState.mEntry, aPending)) {
    return false;
  }
  switch (aAnswer.mCode) {
    case ResultCode::ReplicaBehind:
    case ResultCode::NoPrimary:
    case ResultCode::ConnectionLost:
    case ResultCode::HostUnreachable:
    case ResultCode::PrimaryChanged:
    case ResultCode::LeaseExpired:
      return true;
    default:
      return false;
  }
}

void
Retry(Context& aContext,
      RequestId aId,
      PendingRequest& aPending,
      ResultCode aReason)
{
  ++aContext.mState.mCounters.mRetries;
  if (CostsRetryBudget(aReason)) {
    SpendRetryBudget(aContext.mState.mEntry, aPending);
  }
  RemoveInFlight(aContext.mState.mEntry, aPending);
  aPending.mDispatcher.reset();
  if (aReason == ResultCode::ReplicaBehind) {
    aPending.mAvoidReplicas = true;
    Attempt(aContext, aId);
    return;
  }
  if (aReason == ResultCode::PrimaryChanged) {
    ScheduleRetry(aContext, aId, kPrimaryChangedDelay);
    return;
  }
  ScheduleRetry(aContext, aId, RetryDelay(aId, aPending));
}

}
