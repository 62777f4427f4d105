#include "Entry/Admission.h"

#include <utility>

#include "Entry/Attempts.h"
#include "Entry/EntryState.h"
#include "Entry/InProgressLimit.h"
#include "Entry/Intake.h"
#include "Entry/RetryBudget.h"
#include "Entry/RetryHint.h"
#include "Entry/Views.h"
#include "Membership/Stopping.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// Refuses a request before it becomes pending; nothing has run.
void
Refuse(Context& aContext,
       const CallerRequest& aRequest,
       ResultCode aCode,
       Duration aRetryAfter = Duration{ 0 })
{
  CallerAnswer answer;
  answer.mCall = aRequest.mCall;
  answer.mCode = aCode;
  answer.mOutcome = Outcome::NotRun;
  answer.mRetryAfter = aRetryAfter;
  Emit(aContext, AnswerCaller{ std::move(answer) });
}

/// Refuses a request if no server that may serve it has room, and has the shell
/// refuse its class from now on. Returns whether the request was refused.
bool
RefuseIfOverloaded(Context& aContext, const CallerRequest& aRequest)
{
  State& state = aContext.mState;
  const Profile* const profile =
    state.mConfiguration.mCurrent.FindForService(aRequest.mService);
  if (profile == nullptr || !aRequest.mTransaction.empty() ||
      HasRoomForCall(state, aContext.mNow, profile->mRank, ClassOf(aRequest))) {
    return false;
  }
  CloseIntake(aContext, profile->mRank, aRequest);
  ++state.mCounters.mRanks[IndexOf(profile->mRank)].mRefusedAtEntry;
  Refuse(aContext,
         aRequest,
         ResultCode::Overloaded,
         JitterRetryHint(aRequest.mCall.mValue, kRetryHint));
  return true;
}

/// Validates a request against the configuration, keys and topology and fills
/// in the pending request. Returns Ok, or the code to refuse the request with.
ResultCode
Prepare(const State& aState,
        const CallerRequest& aRequest,
        PendingRequest& aPending)
{
  if (aState.mConfiguration.mCurrent.mVersion == 0) {
    return ResultCode::NoConfiguration;
  }
  const Profile* const profile =
    aState.mConfiguration.mCurrent.FindForService(aRequest.mService);
  if (profile == nullptr) {
    return ResultCode::UnknownService;
  }
  aPending.mCaller = aRequest;
  aPending.mProfile = *profile;
  if (!aRequest.mSessionToken.empty()) {
    std::optional<SessionToken> token =
      OpenSessionToken(aState.mSessionKey, aRequest.mSessionToken);
    if (!token) {
      return ResultCode::InvalidToken;
    }
    aPending.mToken = std::move(*token);
  }
  if (!aRequest.mTransaction.empty()) {
    aPending.mTransaction =
      OpenTransactionHandle(aState.mSessionKey, aRequest.mTransaction);
    if (!aPending.mTransaction ||
        aPending.mTransaction->mService != aRequest.mService) {
      return ResultCode::UnknownTransaction;
    }
    aPending.mDatabase = aPending.mTransaction->mDatabase;
    return ResultCode::Ok;
  }
  aPending.mDatabase = IdOf<DatabaseId>(aRequest.mDatabase);
  if (aState.mTopology.FindDatabase(aPending.mDatabase) == nullptr) {
    return ResultCode::UnknownDatabase;
  }
  return ResultCode::Ok;
}

}

void
HandleCallerRequest(Context& aContext, const CallerRequest& aRequest)
{
  State& state = aContext.mState;
  if (RefusesNewWork(aContext) && aRequest.mTransaction.empty()) {
    Refuse(aContext, aRequest, ResultCode::Stopping);
    return;
  }
  if (RefuseIfOverloaded(aContext, aRequest)) {
    return;
  }
  PendingRequest pending;
  const ResultCode code = Prepare(state, aRequest, pending);
  if (code != ResultCode::Ok) {
    Refuse(aContext, aRequest, code);
    return;
  }
  const std::size_t rank = IndexOf(pending.mProfile.mRank);
  if (state.mEntry.mInProgress[rank] >=
      InProgressLimit(state, pending.mProfile.mRank)) {
    Refuse(aContext,
           aRequest,
           ResultCode::Overloaded,
           JitterRetryHint(aRequest.mCall.mValue, kRetryHint));
    return;
  }
  ++state.mEntry.mInProgress[rank];
  ++state.mCounters.mRanks[rank].mAccepted;
  EarnRetryBudget(state.mEntry, pending);
  pending.mArrivedAt = aContext.mNow;
  pending.mDeadline =
    aContext.mNow + aRequest.mDeadline.value_or(pending.mProfile.mDeadline);
  const RequestId id = NewRequestId(aContext);
  state.mEntry.mRequestOfCall.emplace(aRequest.mCall, id);
  state.mEntry.mDeadlines.emplace(pending.mDeadline + kAnswerGrace, id);
  NoteDatabaseUse(aContext, pending.mDatabase);
  state.mEntry.mPending.emplace(id, std::move(pending));
  Attempt(aContext, id);
}

}
