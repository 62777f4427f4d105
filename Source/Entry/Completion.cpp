#include "Entry/Completion.h"

#include <algorithm>
#include <utility>

#include "Entry/Intake.h"
#include "Entry/RetryHint.h"
#include "Reducer/Context.h"
#include "Reducer/SeededFaults.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

void
CountAnswer(Context& aContext, const PendingRequest& aPending, Outcome aOutcome)
{
  RankCounters& counters =
    aContext.mState.mCounters.mRanks[IndexOf(aPending.mProfile.mRank)];
  switch (aOutcome) {
    case Outcome::Done:
      ++counters.mDone;
      counters.mLatency.Observe(aContext.mNow - aPending.mArrivedAt);
      break;
    case Outcome::NotRun:
      ++counters.mNotRun;
      break;
    case Outcome::Unknown:
      ++counters.mUnknown;
      break;
  }
}

/// The time until which the answer may be given to the caller: mValidFor after
/// the request was sent; see ForwardAnswer::mValidFor.
Instant
ValidUntil(const PendingRequest& aPending, const ForwardAnswer& aAnswer)
{
  if (aAnswer.mValidFor >= Instant::max() - aPending.mSentAt) {
    return Instant::max();
  }
  return aPending.mSentAt + aAnswer.mValidFor;
}

}

void
Finish(Context& aContext, RequestId aId, CallerAnswer aAnswer)
{
  EntryState& entry = aContext.mState.mEntry;
  const auto it = entry.mPending.find(aId);
  const PendingRequest& pending = it->second;
  CountAnswer(aContext, pending, aAnswer.mOutcome);
  --entry.mInProgress[IndexOf(pending.mProfile.mRank)];
  entry.mDeadlines.erase({ pending.mDeadline + kAnswerGrace, aId });
  entry.mRequestOfCall.erase(pending.mCaller.mCall);
  if (pending.mDispatcher) {
    RemoveInFlight(entry, pending);
  }
  aAnswer.mCall = pending.mCaller.mCall;
  entry.mPending.erase(it);
  Emit(aContext, AnswerCaller{ std::move(aAnswer) });
}

void
FinishWithError(Context& aContext, RequestId aId, ResultCode aCode)
{
  const PendingRequest& pending = aContext.mState.mEntry.mPending.at(aId);
  CallerAnswer answer;
  answer.mCode = aCode;
  answer.mOutcome = pending.mMayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  Finish(aContext, aId, std::move(answer));
}

CallerAnswer
MakeCallerAnswer(Context& aContext,
                 const PendingRequest& aPending,
                 const ForwardAnswer& aAnswer)
{
  const State& state = aContext.mState;
  CallerAnswer answer;
  answer.mCode = aAnswer.mCode;
  answer.mOutcome = aAnswer.mOutcome;
  answer.mResult = aAnswer.mResult;
  answer.mRetryAfter =
    JitterRetryHint(aPending.mCaller.mCall.mValue, aAnswer.mRetryAfter);
  answer.mFromReplica = aPending.mFromReplica;
  answer.mValidUntil = ValidUntil(aPending, aAnswer);
  if (const Server* const server =
        state.mTopology.FindServer(aPending.mServer)) {
    answer.mServer = server->mName;
  }
  SessionToken token = aPending.mToken;
  const bool frozen =
    IsSeeded(SeededFault::FreezeSession) && !token.mPositions.empty();
  if (aAnswer.mOutcome == Outcome::Done && !frozen) {
    Position& seen = token.mPositions[aPending.mDatabase];
    seen = std::max(seen, aAnswer.mPosition);
  }
  answer.mSessionToken = SealSessionToken(state.mSessionKey, token);
  return answer;
}

std::string
NextTransactionHandle(const State& aState,
                      RequestId aId,
                      const PendingRequest& aPending)
{
  if (aPending.mCaller.mOperation == CallerOperation::Begin) {
    const TransactionHandle handle{ aId,
                                    aPending.mDatabase,
                                    aPending.mServer,
                                    *aPending.mDispatcher,
                                    aPending.mCaller.mService };
    return SealTransactionHandle(aState.mSessionKey, handle);
  }
  if (aPending.mCaller.mOperation == CallerOperation::Run) {
    return aPending.mCaller.mTransaction;
  }
  return {};
}

void
CountServedRequest(State& aState, const PendingRequest& aPending)
{
  if (aPending.mCaller.mOperation != CallerOperation::Run ||
      aPending.mTransaction) {
    return;
  }
  if (aPending.mCaller.mWrite) {
    ++aState.mCounters.mWrites;
  } else if (aPending.mFromReplica) {
    ++aState.mCounters.mReplicaReads;
  } else {
    ++aState.mCounters.mPrimaryReads;
  }
}

}
