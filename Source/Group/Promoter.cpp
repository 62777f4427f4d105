#include "Group/Promoter.h"

#include <algorithm>

#include "Catalogue/Tables.h"
#include "Common/Hash.h"
#include "Fleet/Sources.h"
#include "Gateway/Tuning.h"

namespace camphorstep::gateway {

namespace {

/// How often a host checks whether to claim or renew the lease.
constexpr Duration kLeaseCheckInterval = 250ms;
/// Hosts claim an expired lease at different times within this period.
constexpr Duration kMaxClaimDelay = 400ms;

bool
IsOwnLease(const Context& aContext, const PromoterLease& aLease)
{
  const HostEntry& self = aContext.mState.mSelf.mEntry;
  return aLease.mHolder == self.mName &&
         aLease.mIncarnation == self.mIncarnation;
}

/// Returns this host's delay before it claims an expired lease, by the hash of
/// its name and the lease's token.
Duration
ClaimDelay(const Context& aContext)
{
  const std::uint64_t hash =
    HashPair(Hash64(aContext.mState.mSelf.mEntry.mName),
             aContext.mState.mPromoter.mLease.mToken);
  return Duration(static_cast<Duration::rep>(
    hash % static_cast<std::uint64_t>(kMaxClaimDelay.count())));
}

/// Returns a lower bound of the store's clock; zero if it was never read.
Duration
StoreTime(const Context& aContext)
{
  const PromoterState& promoter = aContext.mState.mPromoter;
  return promoter.mStoreTimeReadAt
           ? promoter.mStoreTime + (aContext.mNow - *promoter.mStoreTimeReadAt)
           : Duration{ 0 };
}

void
NoteStoreTime(Context& aContext, Duration aStoreTime)
{
  if (aStoreTime > StoreTime(aContext)) {
    PromoterState& promoter = aContext.mState.mPromoter;
    promoter.mStoreTime = aStoreTime;
    promoter.mStoreTimeReadAt = aContext.mNow;
  }
}

/// Whether the lease has expired or was released, so that it can be claimed.
bool
IsLeaseFree(const Context& aContext)
{
  const PromoterState& promoter = aContext.mState.mPromoter;
  if (!promoter.mIsKnown || promoter.mLease.mHolder.empty()) {
    return true;
  }
  // An earlier process of this host has ended, so its lease is free.
  if (promoter.mLease.mHolder == aContext.mState.mSelf.mEntry.mName &&
      !IsOwnLease(aContext, promoter.mLease)) {
    return true;
  }
  return StoreTime(aContext) >=
         promoter.mSeenAt + kPromoterLeaseDuration + ClaimDelay(aContext);
}

void
WriteLeaseRow(Context& aContext, const PromoterLease& aLease)
{
  PromoterState& promoter = aContext.mState.mPromoter;
  const bool isRepeated =
    promoter.mWrittenLease.mToken == aLease.mToken &&
    promoter.mWrittenLease.mRowVersion == aLease.mRowVersion;
  if (!isRepeated) {
    promoter.mWrittenLeaseAt = aContext.mNow;
  }
  promoter.mWrittenLease = aLease;
  promoter.mCall = NewId<CallId>(aContext);
  promoter.mCallSentAt = aContext.mNow;
  ++aContext.mState.mCounters.mStoreCalls;
  Emit(aContext, WriteLease{ promoter.mCall, aLease });
}

void
RenewLease(Context& aContext)
{
  const PromoterState& promoter = aContext.mState.mPromoter;
  if (aContext.mNow - promoter.mCallSentAt >= kPromoterRenewInterval) {
    WriteLeaseRow(aContext, promoter.mLease);
  }
}

void
ClaimLease(Context& aContext)
{
  const PromoterState& promoter = aContext.mState.mPromoter;
  PromoterLease lease = promoter.mLease;
  lease.mHolder = aContext.mState.mSelf.mEntry.mName;
  lease.mIncarnation = aContext.mState.mSelf.mEntry.mIncarnation;
  ++lease.mToken;
  WriteLeaseRow(aContext, lease);
}

void
ReleaseLease(Context& aContext)
{
  PromoterState& promoter = aContext.mState.mPromoter;
  promoter.mHeldUntil = Instant{};
  PromoterLease lease = promoter.mLease;
  lease.mHolder.clear();
  WriteLeaseRow(aContext, lease);
}

void
ApplyLeaseWrite(Context& aContext,
                std::uint64_t aRowVersion,
                Duration aStoreTime,
                Instant aSentAt)
{
  PromoterState& promoter = aContext.mState.mPromoter;
  promoter.mSeenAt = aStoreTime;
  const bool isNew = promoter.mLease.mToken != promoter.mWrittenLease.mToken;
  promoter.mLease = promoter.mWrittenLease;
  promoter.mLease.mRowVersion = aRowVersion;
  promoter.mIsKnown = true;
  if (!IsOwnLease(aContext, promoter.mLease)) {
    return;
  }
  promoter.mHeldUntil = aSentAt + kPromoterLeaseDuration - kPromoterLeaseMargin;
  if (isNew) {
    Log(aContext,
        LogSeverity::Info,
        "this host holds the promoter's lease",
        { { "fencing_token", std::to_string(promoter.mLease.mToken) } });
  }
}

/// Applies a row of the lease that the store held at aSeenAt, by the store's
/// clock. Ignores rows that are not newer.
void
ApplyLeaseRow(Context& aContext, const PromoterLease& aLease, Duration aSeenAt)
{
  PromoterState& promoter = aContext.mState.mPromoter;
  if (promoter.mIsKnown && aLease.mRowVersion <= promoter.mLease.mRowVersion) {
    return;
  }
  // A write whose answer did not arrive has taken effect.
  if (IsOwnLease(aContext, aLease) &&
      aLease.mToken == promoter.mWrittenLease.mToken) {
    ApplyLeaseWrite(
      aContext, aLease.mRowVersion, aSeenAt, promoter.mWrittenLeaseAt);
  }
  const bool isNewHolder = promoter.mLease.mHolder != aLease.mHolder;
  promoter.mLease = aLease;
  promoter.mIsKnown = true;
  promoter.mSeenAt = aSeenAt;
  if (!IsOwnLease(aContext, promoter.mLease)) {
    promoter.mHeldUntil = Instant{};
  }
  if (isNewHolder) {
    Log(aContext,
        LogSeverity::Info,
        "the holder of the promoter's lease changed",
        { { "holder", promoter.mLease.mHolder },
          { "fencing_token", std::to_string(promoter.mLease.mToken) } });
  }
}

}

bool
HoldsPromoterLease(const Context& aContext)
{
  return aContext.mNow < aContext.mState.mPromoter.mHeldUntil;
}

void
ApplyStoredLease(Context& aContext, const TableAnswer& aAnswer)
{
  NoteStoreTime(aContext, aAnswer.mStoreTime);
  if (aAnswer.mLease) {
    ApplyLeaseRow(aContext, *aAnswer.mLease, aAnswer.mStoreTime);
  }
}

std::optional<LeaseReport>
MakeLeaseReport(const Context& aContext)
{
  const PromoterState& promoter = aContext.mState.mPromoter;
  if (!promoter.mIsKnown) {
    return std::nullopt;
  }
  return LeaseReport{ promoter.mLease, promoter.mSeenAt, StoreTime(aContext) };
}

void
ApplyLeaseReport(Context& aContext, const PeerReport& aReport)
{
  if (aReport.mLease) {
    NoteStoreTime(aContext, aReport.mLease->mStoreTime);
    ApplyLeaseRow(aContext, aReport.mLease->mLease, aReport.mLease->mSeenAt);
  }
}

void
MaintainPromoterLease(Context& aContext)
{
  aContext.mState.mTimers.Arm(
    TimerKind::PromoterLease, 0, aContext.mNow + kLeaseCheckInterval);
  const PromoterState& promoter = aContext.mState.mPromoter;
  if (!IsTableKnown(aContext, Table::Fleet) || promoter.mCall) {
    return;
  }
  const bool isHeld =
    promoter.mIsKnown && IsOwnLease(aContext, promoter.mLease);
  if (aContext.mState.mStop.mUnderway) {
    if (isHeld) {
      ReleaseLease(aContext);
    }
  } else if (isHeld && HoldsPromoterLease(aContext)) {
    RenewLease(aContext);
  } else if (aContext.mState.mReady && !IsFollower(aContext) &&
             (isHeld || IsLeaseFree(aContext))) {
    ClaimLease(aContext);
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
    NoteStoreTime(aContext, aEvent.mStoreTime);
    ApplyLeaseWrite(
      aContext, aEvent.mVersion, aEvent.mStoreTime, promoter.mCallSentAt);
    return true;
  }
  Log(
    aContext,
    LogSeverity::Info,
    "the promoter's lease was not written",
    { { "outcome",
        aEvent.mOutcome == CallOutcome::Conflict ? "another host wrote it first"
                                                 : "not confirmed" } });
  // The row shows who holds the lease now.
  RereadTable(aContext, Table::Fleet);
  return true;
}

}
