#include "Group/Takeover.h"

#include <algorithm>
#include <utility>

#include "Catalogue/Tables.h"
#include "Gateway/Tuning.h"
#include "Group/Fencing.h"
#include "Group/Handover.h"
#include "Group/HiddenCopies.h"
#include "Group/Promoter.h"
#include "Group/RetiredTerms.h"
#include "Group/Sampling.h"
#include "Group/TakeoverLog.h"
#include "Group/TakeoverReason.h"

namespace camphorstep::gateway {

namespace {

/// How long a promoted candidate may take to become primary before fencing
/// starts again. The replicas must be paused again before they are evidence for
/// the old primary: the candidate may have crashed before anybody saw it lead.
constexpr Duration kVerifyTimeout = 1'500ms;
static_assert(kVerifyTimeout + kStatusTimeout < kEvidenceProbation);

/// Notes that no promotion can have been requested if two servers are not
/// paused: before a promotion, all servers but one have to be.
void
NoteUnfenced(const Context& aContext, Group& aGroup)
{
  const PromoterState& promoter = aContext.mState.mPromoter;
  const auto unpaused = std::count_if(
    aGroup.mServers.begin(), aGroup.mServers.end(), [&](ServerId aId) {
      const Backend* const backend = Find(aContext.mState.mBackends, aId);
      return backend != nullptr && HasRecentStatus(aContext, *backend) &&
             backend->mStatusAskedAt > promoter.mHeldSince &&
             backend->mStatus->mPauseTerm == 0;
    });
  if (unpaused >= 2) {
    aGroup.mUnfencedToken = promoter.mFirstToken;
  }
}

void
SetPhase(Context& aContext, Group& aGroup, TakeoverPhase aPhase)
{
  aGroup.mTakeover.mPhase = aPhase;
  RequestUrgentSample(aContext, aGroup);
}

void
StartTakeover(Context& aContext, Group& aGroup, TakeoverReason aReason)
{
  const std::uint64_t token = aContext.mState.mPromoter.mLease.mToken;
  Takeover& takeover = aGroup.mTakeover;
  takeover = Takeover{};
  takeover.mReason = aReason;
  // The token makes the pauses of different promoters distinguishable.
  takeover.mFenceTerm = aGroup.mTerm + token;
  takeover.mOldTerm = aGroup.mTerm;
  takeover.mOldPrimary = aGroup.mPrimary;
  // Whoever has retired the term may have ordered a promotion.
  takeover.mUnseenTerm =
    IsTermRetired(aContext, aGroup) ? RetiredTermOf(aContext, aGroup) + 1 : 0;
  takeover.mStartedAt = aContext.mNow;
  aGroup.mNoPrimarySince.reset();
  aGroup.mReplicationStalledSince.reset();
  LogTakeoverStart(aContext, aGroup);
  if (CanHandOver(aContext, aGroup, aReason)) {
    RetireTerm(aContext, aGroup, aGroup.mTerm);
    SetPhase(aContext, aGroup, TakeoverPhase::HandingOver);
    return;
  }
  SetPhase(aContext, aGroup, TakeoverPhase::Fencing);
  ContinueFencing(aContext, aGroup);
}

/// When a request to promote a server that is made now is given up. The lease
/// has not ended then.
Instant
OrderExpiry(const Context& aContext)
{
  return std::min(aContext.mNow + kPromoteTimeout,
                  aContext.mState.mPromoter.mHeldUntil);
}

void
RequestPromotion(Context& aContext, Group& aGroup, const Backend& aCandidate)
{
  Takeover& takeover = aGroup.mTakeover;
  aGroup.mUnfencedToken.reset();
  takeover.mCandidate = aCandidate.mId;
  takeover.mIsFenceBroken = false;
  takeover.mCall = NewId<CallId>(aContext);
  takeover.mOrder = takeover.mCall;
  takeover.mOrderedAt = aContext.mNow;
  ++aContext.mState.mCounters.mPromotionOrders;
  const PromoterLease& lease = aContext.mState.mPromoter.mLease;
  const Instant expiry = OrderExpiry(aContext);
  LogOrder(aContext, aGroup, aCandidate, expiry);
  Emit(aContext,
       PromoteServer{ takeover.mCall,
                      aGroup.mName,
                      aCandidate.mEntry.mName,
                      lease.mHolder,
                      lease.mToken,
                      expiry });
  SetPhase(aContext, aGroup, TakeoverPhase::Promoting);
}

/// Whether a server leads a term that is newer than the one that is replaced:
/// an earlier promoter's order has taken effect.
bool
HasNewerPrimary(const Context& aContext, const Group& aGroup)
{
  const Backend* const primary =
    Find(aContext.mState.mBackends, aGroup.mPrimary);
  return primary != nullptr && HasRecentStatus(aContext, *primary) &&
         primary->mStatus->mPrimary &&
         primary->mStatus->mTerm > aGroup.mTakeover.mOldTerm &&
         !IsTermRetired(aContext, aGroup);
}

/// Whether a primary that was silent has answered since the takeover started,
/// possibly as a server with another name, and can go on: it has not stepped
/// down, its term is not going to be retired, and neither this promoter nor an
/// earlier one has requested a promotion.
bool
HasPrimaryReturned(const Context& aContext, const Group& aGroup)
{
  const Takeover& takeover = aGroup.mTakeover;
  const Backend* const primary =
    Find(aContext.mState.mBackends, aGroup.mPrimary);
  const bool isUnfenced =
    aGroup.mUnfencedToken == aContext.mState.mPromoter.mFirstToken;
  return takeover.mReason == TakeoverReason::Silent && isUnfenced &&
         takeover.mRetiredTerm == 0 && !IsTermRetired(aContext, aGroup) &&
         primary != nullptr && aGroup.mTerm == takeover.mOldTerm &&
         primary->mLastReceivedAt >= takeover.mStartedAt;
}

void
AdvanceHandingOver(Context& aContext, Group& aGroup)
{
  switch (ContinueHandover(aContext, aGroup)) {
    case HandoverProgress::Waiting:
      return;
    case HandoverProgress::Ready:
      aGroup.mTakeover.mIsHandedOver = true;
      RequestPromotion(aContext, aGroup, *FindSuccessor(aContext, aGroup));
      return;
    case HandoverProgress::Failed:
      LogHandoverFailed(aContext, aGroup);
      SetPhase(aContext, aGroup, TakeoverPhase::Fencing);
      ContinueFencing(aContext, aGroup);
      return;
  }
}

/// Leaves the primary in place. A replica that was paused is resumed later, as
/// after any interrupted takeover.
void
DropTakeover(Context& aContext, Group& aGroup)
{
  LogPrimaryKept(aContext, aGroup);
  aGroup.mTakeover = Takeover{};
}

void
AdvanceFencing(Context& aContext, Group& aGroup)
{
  if (HasPrimaryReturned(aContext, aGroup) ||
      HasNewerPrimary(aContext, aGroup)) {
    DropTakeover(aContext, aGroup);
    return;
  }
  ContinueFencing(aContext, aGroup);
  if (!IsFenced(aContext, aGroup, aGroup.mTakeover.mStartedAt)) {
    return;
  }
  aGroup.mTakeover.mFencedAt = aContext.mNow;
  RetireTerm(aContext,
             aGroup,
             TermToRetire(aContext, aGroup, aGroup.mTakeover.mStartedAt));
  SetPhase(aContext, aGroup, TakeoverPhase::AwaitingEvidenceExpiry);
}

/// Starts the takeover's fence anew, since writes may have been acknowledged.
void
RestartFencing(Context& aContext, Group& aGroup)
{
  ++aContext.mState.mCounters.mTakeoverRestarts;
  LogFencingRestart(aContext, aGroup);
  SetPhase(aContext, aGroup, TakeoverPhase::Fencing);
  ContinueFencing(aContext, aGroup);
}

/// Notes that a server is not paused although an order to promote was given,
/// and logs it if the order is underway.
void
NoteFenceBroken(Context& aContext, Group& aGroup)
{
  Takeover& takeover = aGroup.mTakeover;
  if (takeover.mIsFenceBroken || !IsFenceBroken(aContext, aGroup)) {
    return;
  }
  takeover.mIsFenceBroken = true;
  if (!takeover.mCall) {
    // The restart of the takeover is logged.
    return;
  }
  LogFenceBroken(aContext, aGroup);
}

void
AdvanceEvidenceExpiry(Context& aContext, Group& aGroup)
{
  Takeover& takeover = aGroup.mTakeover;
  // A server that was not paused may have given evidence for the old primary,
  // so the wait starts again.
  if (IsFenceBroken(aContext, aGroup)) {
    RestartFencing(aContext, aGroup);
    return;
  }
  ContinueFencing(aContext, aGroup);
  if (!takeover.mRetiredAt) {
    return;
  }
  const Instant waitEnd = std::max(takeover.mFencedAt + kEvidenceTimeout,
                                   *takeover.mRetiredAt + kRetirementLead);
  if (aContext.mNow < waitEnd) {
    return;
  }
  if (!IsFenced(aContext, aGroup, waitEnd)) {
    if (aContext.mNow > waitEnd + kMaxFenceStatusAge) {
      SetPhase(aContext, aGroup, TakeoverPhase::Fencing);
    }
    return;
  }
  const Instant needed = ListNeededSince(aContext, aGroup, waitEnd);
  if (!IsOldPrimaryComplete(aContext, aGroup) &&
      !IsTableConfirmedSince(aContext, Table::Servers, needed)) {
    // A server that was listed meanwhile may have acknowledged writes. After a
    // failure the table has its own time of the next call.
    if (!IsTableFailing(aContext, Table::Servers)) {
      PollTableSoon(aContext, Table::Servers);
    }
    if (!std::exchange(takeover.mIsListWaitLogged, true)) {
      LogListWait(aContext, aGroup);
    }
    return;
  }
  const Term term = TermToRetire(aContext, aGroup, waitEnd);
  if (term > takeover.mRetiredTerm) {
    RetireTerm(aContext, aGroup, term);
    return;
  }
  if (const Backend* const candidate = BestCandidate(aContext, aGroup)) {
    RequestPromotion(aContext, aGroup, *candidate);
  }
}

void
AdvancePromoting(Context& aContext, Group& aGroup)
{
  Takeover& takeover = aGroup.mTakeover;
  if (takeover.mIsHandedOver) {
    if (!takeover.mCall) {
      // Without a clear answer the next order needs a fence.
      takeover.mIsHandedOver = false;
      SetPhase(aContext, aGroup, TakeoverPhase::Fencing);
    }
    return;
  }
  NoteFenceBroken(aContext, aGroup);
  if (takeover.mCall) {
    StepDownOldPrimary(aContext, aGroup);
    return;
  }
  if (takeover.mIsFenceBroken) {
    RestartFencing(aContext, aGroup);
    return;
  }
  ContinueFencing(aContext, aGroup);
  if (aContext.mNow >= takeover.mCallAfter) {
    // The next call needs all that the first one did.
    SetPhase(aContext, aGroup, TakeoverPhase::AwaitingEvidenceExpiry);
  }
}

/// Whether the server that a promotion was requested for leads a newer term.
bool
IsCandidateLeading(const Group& aGroup)
{
  const Takeover& takeover = aGroup.mTakeover;
  return takeover.mCandidate && aGroup.mPrimary == takeover.mCandidate &&
         aGroup.mTerm > takeover.mOldTerm;
}

void
AdvanceVerifying(Context& aContext, Group& aGroup)
{
  Takeover& takeover = aGroup.mTakeover;
  if (IsCandidateLeading(aGroup)) {
    if (!EndPauses(aContext, aGroup)) {
      return;
    }
    ++aContext.mState.mCounters.mPromotions;
    LogPrimaryReplaced(aContext, aGroup);
    takeover = Takeover{};
    return;
  }
  if (aContext.mNow > takeover.mCallAfter + kVerifyTimeout) {
    SetPhase(aContext, aGroup, TakeoverPhase::Fencing);
  }
}

}

void
AdvanceTakeover(Context& aContext, Group& aGroup)
{
  Takeover& takeover = aGroup.mTakeover;
  if (!HoldsPromoterLease(aContext)) {
    if (takeover.mPhase != TakeoverPhase::None) {
      LogTakeoverLeft(aContext, aGroup);
      takeover = Takeover{};
    }
    return;
  }
  if (!aContext.mState.mPromoter.mHasReadRecords) {
    return;
  }
  if (IsCandidateLeading(aGroup) &&
      takeover.mPhase != TakeoverPhase::Verifying) {
    // The promotion took effect before its answer came, or without one.
    takeover.mCall = CallId{};
    takeover.mCallAfter = aContext.mNow;
    SetPhase(aContext, aGroup, TakeoverPhase::Verifying);
  }
  switch (takeover.mPhase) {
    case TakeoverPhase::None:
      NoteUnfenced(aContext, aGroup);
      if (const auto reason = ReasonToReplace(aContext, aGroup)) {
        StartTakeover(aContext, aGroup, *reason);
      } else {
        CleanUpAfterTakeover(aContext, aGroup);
      }
      break;
    case TakeoverPhase::HandingOver:
      AdvanceHandingOver(aContext, aGroup);
      break;
    case TakeoverPhase::Fencing:
      AdvanceFencing(aContext, aGroup);
      break;
    case TakeoverPhase::AwaitingEvidenceExpiry:
      AdvanceEvidenceExpiry(aContext, aGroup);
      break;
    case TakeoverPhase::Promoting:
      AdvancePromoting(aContext, aGroup);
      break;
    case TakeoverPhase::Verifying:
      AdvanceVerifying(aContext, aGroup);
      break;
  }
}

void
HandlePromoteAnswered(Context& aContext, const PromoteAnswered& aEvent)
{
  if (aEvent.mOutcome == CallOutcome::Unknown) {
    ++aContext.mState.mCounters.mOrdersUnanswered;
  }
  bool isAwaited = false;
  for (auto& [id, group] : aContext.mState.mGroups) {
    Takeover& takeover = group.mTakeover;
    if (takeover.mPhase != TakeoverPhase::Promoting ||
        takeover.mCall != aEvent.mCall) {
      continue;
    }
    isAwaited = true;
    LogOrderAnswer(aContext, group, aEvent.mOutcome);
    takeover.mCall = CallId{};
    takeover.mCallAfter = aContext.mNow + kPromoteRetryDelay;
    if (aEvent.mOutcome == CallOutcome::Ok ||
        aEvent.mOutcome == CallOutcome::Unknown) {
      takeover.mUnseenTerm =
        std::max(takeover.mUnseenTerm, takeover.mRetiredTerm) + 1;
    }
    if (aEvent.mOutcome == CallOutcome::Unknown) {
      // The order may still take effect, which takes less than this wait.
      takeover.mFencedAt = aContext.mNow;
    }
    if (aEvent.mOutcome == CallOutcome::Ok) {
      takeover.mCallAfter = aContext.mNow;
      SetPhase(aContext, group, TakeoverPhase::Verifying);
    } else if (aEvent.mOutcome == CallOutcome::Conflict) {
      SetPhase(aContext, group, TakeoverPhase::Fencing);
    }
    RequestUrgentSample(aContext, group);
  }
  if (!isAwaited) {
    LogUnawaitedAnswer(aContext, aEvent);
  }
}

}
