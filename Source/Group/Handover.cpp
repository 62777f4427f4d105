#include "Group/Handover.h"

#include "Gateway/Tuning.h"
#include "Group/Fencing.h"
#include "Group/RetiredTerms.h"
#include "Group/Sampling.h"
#include "Group/TakeoverLog.h"

namespace camphorstep::gateway {

namespace {

/// How long after the term is retired the primary steps down at the earliest:
/// hosts learn of it by reports, and the server works off what they have sent.
constexpr Duration kSettleTime = 100ms;
/// How long it may take until a replica has the primary's position. After that
/// the primary steps down anyway, since some host may not stop sending writes.
constexpr Duration kMaxSettleTime = 400ms;
/// How long after the primary has stepped down a replica may take to show that
/// it has all of its log.
constexpr Duration kCompletionTimeout = 300ms;
/// The interval of status requests during a handover.
constexpr Duration kHandoverSampleInterval = 40ms;

/// Whether a replica that is not leaving has received at least a position, by a
/// status requested at or after aSince.
bool
HasReceived(const Context& aContext,
            const Backend& aBackend,
            const Position& aPosition,
            Instant aSince)
{
  return HasRecentStatus(aContext, aBackend) &&
         aBackend.mStatusAskedAt >= aSince && !aBackend.mStatus->mPrimary &&
         !aBackend.mLeavingSince && aBackend.mStatus->mReceived >= aPosition;
}

/// The replica of a group that has received the most, of those that have
/// received at least the old primary's position.
const Backend*
FindComplete(const Context& aContext, const Group& aGroup, Instant aSince)
{
  const ServerId old = aGroup.mTakeover.mOldPrimary;
  const Backend* const primary = Find(aContext.mState.mBackends, old);
  if (primary == nullptr || !primary->mStatus) {
    return nullptr;
  }
  const Backend* best = nullptr;
  for (const ServerId id : aGroup.mServers) {
    const Backend* const backend = Find(aContext.mState.mBackends, id);
    if (backend == nullptr || id == old ||
        !HasReceived(aContext, *backend, primary->mStatus->mReceived, aSince)) {
      continue;
    }
    if (best == nullptr || IsBetterCandidate(*backend, *best)) {
      best = backend;
    }
  }
  return best;
}

/// Whether the primary may step down: no host sends it writes any more, or some
/// may go on doing so.
bool
IsSettled(const Context& aContext, const Group& aGroup, const Backend& aPrimary)
{
  const Instant earliest = *aGroup.mTakeover.mRetiredAt + kSettleTime;
  const bool isComplete =
    aPrimary.mStatusAskedAt >= earliest &&
    FindComplete(aContext, aGroup, aPrimary.mStatusAskedAt) != nullptr;
  return isComplete ||
         aContext.mNow > *aGroup.mTakeover.mRetiredAt + kMaxSettleTime;
}

/// Has the primary step down when that is due, and notes when it has.
void
StepDownPrimary(Context& aContext, Group& aGroup, Backend& aPrimary)
{
  Takeover& takeover = aGroup.mTakeover;
  if (!HasRecentStatus(aContext, aPrimary)) {
    return;
  }
  if (!aPrimary.mStatus->mPrimary) {
    takeover.mSteppedDownAt = aContext.mNow;
    LogSteppedDown(aContext, aGroup);
  } else if (IsSettled(aContext, aGroup, aPrimary) &&
             IsControlFree(aContext, aPrimary)) {
    SendControlRequest(
      aContext, aPrimary, BackendVerb::StepDown, takeover.mFenceTerm);
  }
}

}

bool
CanHandOver(const Context& aContext,
            const Group& aGroup,
            TakeoverReason aReason)
{
  const Backend* const primary =
    Find(aContext.mState.mBackends, aGroup.mPrimary);
  return (aReason == TakeoverReason::Leaving ||
          aReason == TakeoverReason::SilentToMany) &&
         primary != nullptr && HasRecentStatus(aContext, *primary) &&
         primary->mStatus->mPrimary && !IsTermRetired(aContext, aGroup);
}

HandoverProgress
ContinueHandover(Context& aContext, Group& aGroup)
{
  Takeover& takeover = aGroup.mTakeover;
  aContext.mState.mTimers.ArmSooner(TimerKind::SampleGroup,
                                    aGroup.mId.mValue,
                                    aContext.mNow + kHandoverSampleInterval);
  Backend* const primary =
    Find(aContext.mState.mBackends, takeover.mOldPrimary);
  const bool isAnswering =
    primary != nullptr &&
    aContext.mNow - primary->mLastReceivedAt <= kPrimarySilenceTimeout;
  if (!isAnswering || aGroup.mTerm != takeover.mOldTerm) {
    return HandoverProgress::Failed;
  }
  if (!takeover.mRetiredAt) {
    return HandoverProgress::Waiting;
  }
  if (!takeover.mSteppedDownAt) {
    StepDownPrimary(aContext, aGroup, *primary);
    return HandoverProgress::Waiting;
  }
  if (primary->mStatus && primary->mStatus->mPrimary) {
    return HandoverProgress::Failed;
  }
  const bool hasSuccessor = FindSuccessor(aContext, aGroup) != nullptr;
  const Duration passed = aContext.mNow - *takeover.mSteppedDownAt;
  if (!hasSuccessor && passed > kCompletionTimeout) {
    return HandoverProgress::Failed;
  }
  return hasSuccessor && passed >= kEvidenceTimeout ? HandoverProgress::Ready
                                                    : HandoverProgress::Waiting;
}

const Backend*
FindSuccessor(const Context& aContext, const Group& aGroup)
{
  return FindComplete(aContext, aGroup, *aGroup.mTakeover.mSteppedDownAt);
}

}
