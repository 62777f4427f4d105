#include "Group/Promoter.h"

#include <algorithm>

#include "Catalogue/Tables.h"
#include "Common/Hash.h"
#include "Gateway/Tuning.h"

namespace camphorstep::gateway {

namespace {

/// How often a host looks whether the lease has to be taken or renewed.
constexpr Duration kLookInterval = 250ms;
/// Hosts take a lease that is over at different times within this.
constexpr Duration kClaimSpread = 400ms;

bool
IsOwn(const Context& aContext, const PromoterLease& aLease)
{
  const HostEntry& self = aContext.mState.mSelf.mEntry;
  return aLease.mHolder == self.mName &&
         aLease.mIncarnation == self.mIncarnation;
}

/// This host's place among those that want a lease which is over.
Duration
ClaimDelay(const Context& aContext)
{
  const std::uint64_t hash =
    HashPair(Hash64(aContext.mState.mSelf.mEntry.mName),
             aContext.mState.mPromoter.mLease.mToken);
  return Duration(static_cast<Duration::rep>(
    hash % static_cast<std::uint64_t>(kClaimSpread.count())));
}

/// Whether nobody can be using the lease any more.
bool
IsFree(const Context& aContext)
{
  const PromoterState& promoter = aContext.mState.mPromoter;
  if (!promoter.mSeen || promoter.mLease.mHolder.empty()) {
    return true;
  }
  // An earlier process of this host is gone, and its lease with it.
  if (promoter.mLease.mHolder == aContext.mState.mSelf.mEntry.mName &&
      !IsOwn(aContext, promoter.mLease)) {
    return true;
  }
  const Duration storeTime =
    promoter.mStoreTime + (aContext.mNow - promoter.mStoreTimeReadAt);
  return storeTime >=
         promoter.mSeenAt + kPromoterLeaseTime + ClaimDelay(aContext);
}

void
WriteLeaseRow(Context& aContext, const PromoterLease& aLease)
{
  PromoterState& promoter = aContext.mState.mPromoter;
  promoter.mClaimed = aLease;
  promoter.mCall = NewId<CallId>(aContext);
  promoter.mCallSentAt = aContext.mNow;
  ++aContext.mState.mCounters.mStoreCalls;
  Emit(aContext, WriteLease{ promoter.mCall, aLease });
}

void
Renew(Context& aContext)
{
  const PromoterState& promoter = aContext.mState.mPromoter;
  if (aContext.mNow - promoter.mCallSentAt >= kPromoterRenewInterval) {
    WriteLeaseRow(aContext, promoter.mLease);
  }
}

void
Claim(Context& aContext)
{
  const PromoterState& promoter = aContext.mState.mPromoter;
  PromoterLease lease = promoter.mLease;
  lease.mHolder = aContext.mState.mSelf.mEntry.mName;
  lease.mIncarnation = aContext.mState.mSelf.mEntry.mIncarnation;
  ++lease.mToken;
  WriteLeaseRow(aContext, lease);
}

void
GiveBack(Context& aContext)
{
  PromoterState& promoter = aContext.mState.mPromoter;
  promoter.mHeldUntil = Instant{};
  PromoterLease lease = promoter.mLease;
  lease.mHolder.clear();
  WriteLeaseRow(aContext, lease);
}

void
TakeEffect(Context& aContext, std::uint64_t aRowVersion)
{
  PromoterState& promoter = aContext.mState.mPromoter;
  const bool isNew = promoter.mLease.mToken != promoter.mClaimed.mToken;
  promoter.mLease = promoter.mClaimed;
  promoter.mLease.mRowVersion = aRowVersion;
  promoter.mSeen = true;
  if (!IsOwn(aContext, promoter.mLease)) {
    return;
  }
  promoter.mHeldUntil =
    promoter.mCallSentAt + kPromoterLeaseTime - kPromoterLeaseMargin;
  if (isNew) {
    Log(aContext,
        LogSeverity::Info,
        "this host holds the promoter's lease",
        { { "fencing_token", std::to_string(promoter.mLease.mToken) } });
  }
}

}

bool
HoldsPromoterLease(const Context& aContext)
{
  return aContext.mNow < aContext.mState.mPromoter.mHeldUntil;
}

void
NoteLease(Context& aContext, const TableAnswer& aAnswer)
{
  PromoterState& promoter = aContext.mState.mPromoter;
  promoter.mStoreTime = aAnswer.mStoreTime;
  promoter.mStoreTimeReadAt = aContext.mNow;
  if (!aAnswer.mLease || (promoter.mSeen && aAnswer.mLease->mRowVersion <=
                                              promoter.mLease.mRowVersion)) {
    return;
  }
  // A write without an answer has taken effect after all.
  if (IsOwn(aContext, *aAnswer.mLease) &&
      aAnswer.mLease->mToken == promoter.mClaimed.mToken) {
    TakeEffect(aContext, aAnswer.mLease->mRowVersion);
  }
  const bool isNewHolder = promoter.mLease.mHolder != aAnswer.mLease->mHolder;
  promoter.mLease = *aAnswer.mLease;
  promoter.mSeen = true;
  promoter.mSeenAt = aAnswer.mStoreTime;
  if (!IsOwn(aContext, promoter.mLease)) {
    promoter.mHeldUntil = Instant{};
  }
  if (isNewHolder) {
    Log(aContext,
        LogSeverity::Info,
        "the promoter's lease changed hands",
        { { "holder", promoter.mLease.mHolder },
          { "fencing_token", std::to_string(promoter.mLease.mToken) } });
  }
}

void
MaintainPromoterLease(Context& aContext)
{
  aContext.mState.mTimers.Arm(
    TimerKind::PromoterLease, 0, aContext.mNow + kLookInterval);
  const PromoterState& promoter = aContext.mState.mPromoter;
  if (!IsTableKnown(aContext, Table::Fleet) || promoter.mCall) {
    return;
  }
  const bool isHeld = promoter.mSeen && IsOwn(aContext, promoter.mLease);
  if (aContext.mState.mStop.mUnderway) {
    if (isHeld) {
      GiveBack(aContext);
    }
  } else if (isHeld && HoldsPromoterLease(aContext)) {
    Renew(aContext);
  } else if (aContext.mState.mReady && (isHeld || IsFree(aContext))) {
    Claim(aContext);
  }
}

bool
HandleLeaseWritten(Context& aContext, const StoreWritten& aEvent)
{
  PromoterState& promoter = aContext.mState.mPromoter;
  if (!promoter.mCall || promoter.mCall != aEvent.mCall) {
    return false;
  }
  promoter.mCall = CallId{};
  if (aEvent.mOutcome == CallOutcome::Ok) {
    TakeEffect(aContext, aEvent.mVersion);
    return true;
  }
  Log(aContext,
      LogSeverity::Info,
      "the promoter's lease was not written",
      { { "outcome",
          aEvent.mOutcome == CallOutcome::Conflict ? "another host was first"
                                                   : "no clear answer" } });
  // The row tells what holds now.
  RereadTable(aContext, Table::Fleet);
  return true;
}

}
