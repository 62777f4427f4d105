#include "Entry/Entry.h"

#include <utility>
#include <vector>

#include "Entry/Attempts.h"
#include "Entry/Completion.h"
#include "Entry/Failover.h"
#include "Entry/Intake.h"
#include "Entry/Retries.h"
#include "Entry/Routing.h"
#include "Entry/Views.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

void
HandleDeadline(Context& aContext, RequestId aId)
{
  const PendingRequest& pending = aContext.mState.mEntry.mPending.at(aId);
  if (pending.mDispatcher) {
    SendTo(
      aContext, *pending.mDispatcher, CancelRequest{ aId, pending.mServer });
    aContext.mState.mEntry.mPending.at(aId).mMayHaveRun = true;
    FinishWithError(aContext, aId, ResultCode::DeadlineExceeded);
    return;
  }
  FinishWithError(aContext, aId, ResultCode::NoPrimary);
}

/// Removes the timers that are due and returns their requests, in order of
/// time.
std::vector<RequestId>
TakeDue(std::set<RequestTimer>& aTimers, Instant aNow)
{
  std::vector<RequestId> due;
  while (!aTimers.empty() && aTimers.begin()->first <= aNow) {
    due.push_back(aTimers.begin()->second);
    aTimers.erase(aTimers.begin());
  }
  return due;
}

}

void
HandleCallerGone(Context& aContext, const CallerGone& aEvent)
{
  EntryState& entry = aContext.mState.mEntry;
  const auto it = entry.mRequestOfCall.find(aEvent.mCall);
  if (it == entry.mRequestOfCall.end()) {
    return;
  }
  const RequestId id = it->second;
  PendingRequest& pending = entry.mPending.at(id);
  if (pending.mDispatcher) {
    pending.mMayHaveRun = true;
    SendTo(
      aContext, *pending.mDispatcher, CancelRequest{ id, pending.mServer });
  }
  FinishWithError(aContext, id, ResultCode::ConnectionLost);
}

void
HandleForwardAnswer(Context& aContext, const ForwardAnswer& aAnswer)
{
  State& state = aContext.mState;
  const auto it = state.mEntry.mPending.find(aAnswer.mId);
  if (it == state.mEntry.mPending.end() || !it->second.mDispatcher ||
      it->second.mAttempts != aAnswer.mAttempt) {
    ++state.mCounters.mLateAnswers;
    return;
  }
  PendingRequest& pending = it->second;
  if (aAnswer.mView.mTerm != 0) {
    ApplyIntake(aContext, aAnswer.mView);
    ApplyView(aContext, aAnswer.mView, pending.mSentAt);
  }
  if (aAnswer.mOutcome == Outcome::Done &&
      IsTooOld(state, aContext.mNow, pending, aAnswer.mPosition)) {
    Retry(aContext, aAnswer.mId, pending, ResultCode::ReplicaBehind);
    return;
  }
  if (aAnswer.mOutcome == Outcome::Unknown) {
    pending.mMayHaveRun = true;
  }
  if (aAnswer.mOutcome != Outcome::Done &&
      CanRetry(aContext, pending, aAnswer)) {
    Retry(aContext, aAnswer.mId, pending, aAnswer.mCode);
    return;
  }
  if (LookUpCommitOutcome(aContext, aAnswer.mId, aAnswer)) {
    return;
  }
  const ForwardAnswer finalAnswer = ApplyLookupResult(pending, aAnswer);
  CallerAnswer answer = MakeCallerAnswer(aContext, pending, finalAnswer);
  if (finalAnswer.mOutcome == Outcome::Done) {
    CountServedRequest(state, pending);
    answer.mTransaction = NextTransactionHandle(state, aAnswer.mId, pending);
  } else if (pending.mMayHaveRun) {
    answer.mOutcome = Outcome::Unknown;
  }
  Finish(aContext, aAnswer.mId, std::move(answer));
}

void
FailRequestsThroughHost(Context& aContext, HostId aHost)
{
  EntryState& entry = aContext.mState.mEntry;
  std::vector<RequestId> affected;
  for (const auto& [id, pending] : entry.mPending) {
    if (pending.mDispatcher == aHost) {
      affected.push_back(id);
    }
  }
  FailAttempts(aContext, affected, ResultCode::HostUnreachable);
}

void
FailAttempts(Context& aContext,
             const std::vector<RequestId>& aRequests,
             ResultCode aCode)
{
  for (const RequestId id : aRequests) {
    PendingRequest& pending = aContext.mState.mEntry.mPending.at(id);
    pending.mMayHaveRun = true;
    ForwardAnswer failure;
    failure.mId = id;
    failure.mAttempt = pending.mAttempts;
    failure.mCode = aCode;
    failure.mOutcome = Outcome::Unknown;
    failure.mView.mServer = pending.mServer;
    HandleForwardAnswer(aContext, failure);
  }
}

void
TickEntry(Context& aContext)
{
  EntryState& entry = aContext.mState.mEntry;
  for (const RequestId id : TakeDue(entry.mDeadlines, aContext.mNow)) {
    if (entry.mPending.contains(id)) {
      HandleDeadline(aContext, id);
    }
  }
  for (const RequestId id : TakeDue(entry.mRetries, aContext.mNow)) {
    const auto it = entry.mPending.find(id);
    if (it != entry.mPending.end() && !it->second.mDispatcher) {
      Attempt(aContext, id);
    }
  }
  RefreshViews(aContext);
}

}
