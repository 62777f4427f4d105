#include "Entry/Failover.h"

#include <algorithm>
#include <vector>

#include "Entry/Entry.h"
#include "Entry/Intake.h"
#include "Entry/Retries.h"
#include "Keeper/Keeper.h"
#include "Reducer/Context.h"
#include "Reducer/SeededFaults.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// Number of term starts that servers report. A position older than the first
/// reported one cannot be checked and counts as lost.
constexpr std::size_t kReportedTermStarts = 8;
constexpr Duration kLookupDelay = std::chrono::milliseconds(10);

}

void
FailRequestsToFormerPrimary(Context& aContext, ServerId aServer)
{
  std::vector<RequestId> affected;
  for (const auto& [id, pending] : aContext.mState.mEntry.mPending) {
    if (pending.mDispatcher && pending.mServer == aServer &&
        !pending.mFromReplica) {
      affected.push_back(id);
    }
  }
  FailAttempts(aContext, affected, ResultCode::PrimaryChanged);
}

HistoryMatch
MatchHistory(const ServerView& aView, Position aSeen)
{
  if (IsSeeded(SeededFault::ForgetLostHistory)) {
    return HistoryMatch::Contained;
  }
  const std::vector<Position>& starts = aView.mTermStarts;
  const Term newest = starts.empty() ? 0 : starts.back().mTerm;
  if (aView.mApplied.mTerm > newest) {
    return HistoryMatch::Unknown;
  }
  const auto next =
    std::find_if(starts.begin(), starts.end(), [aSeen](Position aStart) {
      return aStart.mTerm > aSeen.mTerm;
    });
  if (next == starts.end()) {
    return HistoryMatch::Contained;
  }
  const bool truncated =
    next == starts.begin() && starts.size() >= kReportedTermStarts;
  return truncated || aSeen.mIndex >= next->mIndex ? HistoryMatch::Lost
                                                   : HistoryMatch::Contained;
}

HistoryMatch
MatchSessionHistory(const State& aState, const PendingRequest& aPending)
{
  const auto seen = aPending.mToken.mPositions.find(aPending.mDatabase);
  const Term term = TermOf(aState, aPending.mDatabase);
  if (seen == aPending.mToken.mPositions.end() || seen->second.mTerm == term) {
    return HistoryMatch::Contained;
  }
  const std::optional<ServerId> primary = PrimaryOf(aState, aPending.mDatabase);
  if (!primary || seen->second.mTerm > term) {
    return HistoryMatch::Unknown;
  }
  const auto known = aState.mEntry.mServers.find(*primary);
  if (known == aState.mEntry.mServers.end() ||
      known->second.mView.mTerm != term) {
    return HistoryMatch::Unknown;
  }
  // A new primary starts its term with a log entry, so a view without that
  // term predates the promotion.
  const std::vector<Position>& starts = known->second.mView.mTermStarts;
  if (starts.empty() || starts.back().mTerm < term) {
    return HistoryMatch::Unknown;
  }
  return MatchHistory(known->second.mView, seen->second);
}

bool
IsKeyedWrite(const PendingRequest& aPending)
{
  return aPending.mCaller.mOperation == CallerOperation::Run &&
         aPending.mCaller.mWrite && !aPending.mCaller.mKey.empty() &&
         !aPending.mTransaction;
}

bool
LookUpCommitOutcome(Context& aContext,
                    RequestId aId,
                    const ForwardAnswer& aAnswer)
{
  PendingRequest& pending = aContext.mState.mEntry.mPending.at(aId);
  const bool isKeyedCommit =
    pending.mCaller.mOperation == CallerOperation::Commit &&
    !pending.mCaller.mKey.empty();
  if (!isKeyedCommit || aAnswer.mOutcome != Outcome::Unknown ||
      aContext.mNow >= pending.mDeadline) {
    return false;
  }
  pending.mCaller.mOperation = CallerOperation::Lookup;
  pending.mTransaction.reset();
  RemoveInFlight(aContext.mState.mEntry, pending);
  pending.mDispatcher.reset();
  pending.mCommitError = aAnswer.mCode;
  ScheduleRetry(aContext, aId, kLookupDelay);
  return true;
}

ForwardAnswer
ApplyLookupResult(const PendingRequest& aPending, const ForwardAnswer& aAnswer)
{
  ForwardAnswer answer = aAnswer;
  if (aPending.mCommitError && aAnswer.mCode != ResultCode::Replayed) {
    // A commit that was not found may still reach the server.
    answer.mCode = *aPending.mCommitError;
    answer.mOutcome = Outcome::Unknown;
  }
  return answer;
}

}
