#include "Group/Promoter.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "Catalogue/Tables.h"
#include "Common/Hash.h"
#include "Fleet/Sources.h"
#include "Gateway/Tuning.h"
#include "Group/Copies.h"

namespace camphorstep::gateway {

namespace {

/// How often a host checks whether to claim or renew the lease.
constexpr Duration kLeaseCheckInterval = 250ms;
/// Hosts claim an expired lease at different times within this period.
constexpr Duration kMaxClaimDelay = 400ms;
/// A host with a source in its own data centre gives the source this long to
/// claim an expired lease. The source may be cut off from the store, or unable
/// to claim. There are many such hosts, so their claims are spread wider.
constexpr Duration kFollowerClaimDelay = 3s;
constexpr Duration kMaxFollowerClaimDelay = 5s;
/// The interval between writes of the lease while records of groups are to be
/// written with it.
constexpr Duration kMinLeaseWriteInterval = 500ms;
/// The first token of an era is higher than all of the era before, including
/// those that the store has lost.
constexpr std::uint64_t kTokensPerEra = 1'000'000;

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
  const auto delayWithin = [hash](Duration aMaxDelay) {
    return Duration(static_cast<Duration::rep>(
      hash % static_cast<std::uint64_t>(aMaxDelay.count())));
  };
  return IsFollower(aContext)
           ? kFollowerClaimDelay + delayWithin(kMaxFollowerClaimDelay)
           : delayWithin(kMaxClaimDelay);
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

/// Whether a lease was written in the store's present era. Otherwise the store
/// may have lost a later one, whose holder may still use it.
bool
IsOfRowEra(const PromoterLease& aLease)
{
  return aLease.mToken / kTokensPerEra == EraOf(aLease.mRowVersion);
}

/// Whether the lease has expired or was released, so that it can be claimed. A
/// host with a source in its own data centre only claims one that has expired.
bool
IsLeaseFree(const Context& aContext)
{
  const PromoterState& promoter = aContext.mState.mPromoter;
  const bool isFollower = IsFollower(aContext);
  if (!promoter.mIsKnown) {
    return !isFollower;
  }
  // A lease of this host is one of its own or of an earlier process, which has
  // ended.
  const bool hasNoOtherHolder =
    promoter.mLease.mHolder.empty() ||
    promoter.mLease.mHolder == aContext.mState.mSelf.mEntry.mName;
  if (hasNoOtherHolder && !isFollower && IsOfRowEra(promoter.mLease)) {
    return true;
  }
  return StoreTime(aContext) >=
         promoter.mSeenAt + kPromoterLeaseDuration + ClaimDelay(aContext);
}

void
WriteLeaseRow(Context& aContext,
              const PromoterLease& aLease,
              std::vector<GroupRecord> aRecords = {})
{
  PromoterState& promoter = aContext.mState.mPromoter;
  const bool isRepeated =
    promoter.mWrittenLease.mToken == aLease.mToken &&
    promoter.mWrittenLease.mRowVersion == aLease.mRowVersion;
  if (!isRepeated) {
    promoter.mWrittenLeaseAt = aContext.mNow;
  }
  promoter.mWrittenLease = aLease;
  promoter.mWrittenRecords = std::move(aRecords);
  promoter.mCall = NewId<CallId>(aContext);
  promoter.mCallSentAt = aContext.mNow;
  ++aContext.mState.mCounters.mStoreCalls;
  Emit(aContext,
       WriteLease{ promoter.mCall, aLease, promoter.mWrittenRecords });
}

/// The least time between two writes of the lease. A takeover waits for the
/// record of the term that it retires.
Duration
WriteInterval(const Context& aContext, bool aHasRecords)
{
  if (!aHasRecords) {
    return kPromoterRenewInterval;
  }
  const auto& groups = aContext.mState.mGroups;
  const bool isTakeoverWaiting =
    std::any_of(groups.begin(), groups.end(), [](const auto& aEntry) {
      const Takeover& takeover = aEntry.second.mTakeover;
      return takeover.mRetiredTerm != 0 && !takeover.mRetiredAt;
    });
  return isTakeoverWaiting ? Duration{ 0 } : kMinLeaseWriteInterval;
}

void
RenewLease(Context& aContext)
{
  const PromoterState& promoter = aContext.mState.mPromoter;
  std::vector<GroupRecord> records = RecordsToWrite(aContext);
  const Duration interval = WriteInterval(aContext, !records.empty());
  if (aContext.mNow - promoter.mCallSentAt >= interval) {
    WriteLeaseRow(aContext, promoter.mLease, std::move(records));
  }
}

void
ClaimLease(Context& aContext)
{
  const PromoterState& promoter = aContext.mState.mPromoter;
  PromoterLease lease = promoter.mLease;
  if (!promoter.mIsKnown) {
    const TableProgress& hosts = aContext.mState.mCatalogue.mTables.at(
      static_cast<std::size_t>(Table::Fleet));
    lease.mRowVersion = MakeStoreVersion(EraOf(hosts.mVersion), 0);
  }
  lease.mHolder = aContext.mState.mSelf.mEntry.mName;
  lease.mIncarnation = aContext.mState.mSelf.mEntry.mIncarnation;
  lease.mToken =
    std::max(lease.mToken, EraOf(lease.mRowVersion) * kTokensPerEra) + 1;
  WriteLeaseRow(aContext, lease);
}

/// Whether the platform may still get an order to promote of this host's.
bool
HasOrderUnderway(const Context& aContext)
{
  const auto& groups = aContext.mState.mGroups;
  return std::any_of(groups.begin(), groups.end(), [](const auto& aEntry) {
    const Takeover& takeover = aEntry.second.mTakeover;
    return takeover.mPhase == TakeoverPhase::Promoting && takeover.mCall;
  });
}

void
ReleaseLease(Context& aContext)
{
  PromoterState& promoter = aContext.mState.mPromoter;
  std::vector<GroupRecord> records = RecordsToWrite(aContext);
  promoter.mHeldUntil = Instant{};
  PromoterLease lease = promoter.mLease;
  lease.mHolder.clear();
  WriteLeaseRow(aContext, lease, std::move(records));
}

void
SampleAllGroups(Context& aContext)
{
  for (const auto& [id, group] : aContext.mState.mGroups) {
    aContext.mState.mTimers.ArmSooner(
      TimerKind::SampleGroup, id.mValue, aContext.mNow);
  }
}

/// The fields of a log line about a row of the lease.
std::vector<LogValue>
DescribeLease(const PromoterLease& aLease)
{
  return { { "holder", aLease.mHolder },
           { "fencing_token", std::to_string(aLease.mToken) },
           { "row_version", std::to_string(NumberOf(aLease.mRowVersion)) },
           { "era", std::to_string(EraOf(aLease.mRowVersion)) } };
}

/// What the last write of the lease was for. Another host's row may be known
/// since: a renewal's has a later token, and one that was claimed at the same
/// time has the same token.
std::string_view
DescribeWrite(const Context& aContext)
{
  const PromoterLease& written = aContext.mState.mPromoter.mWrittenLease;
  const PromoterLease& known = aContext.mState.mPromoter.mLease;
  if (written.mHolder.empty()) {
    return "release";
  }
  const bool isRenewal =
    known.mToken > written.mToken ||
    (known.mToken == written.mToken && IsOwnLease(aContext, known));
  return isRenewal ? "renewal" : "claim";
}

void
LogLeaseTaken(Context& aContext)
{
  const PromoterState& promoter = aContext.mState.mPromoter;
  std::vector<LogValue> values = DescribeLease(promoter.mLease);
  values.push_back(
    { "lease_left_ms", Milliseconds(PromoterLeaseLeft(aContext)) });
  Log(aContext,
      LogSeverity::Info,
      "this host holds the promoter's lease",
      std::move(values));
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
  // Each claim uses the next token, so nobody has held the lease in between.
  const bool isNext =
    IsOwnLease(aContext, promoter.mLease) &&
    promoter.mLease.mToken + 1 == promoter.mWrittenLease.mToken;
  promoter.mLease = promoter.mWrittenLease;
  promoter.mLease.mRowVersion = aRowVersion;
  promoter.mIsKnown = true;
  if (!IsOwnLease(aContext, promoter.mLease)) {
    Log(aContext,
        LogSeverity::Info,
        "this host has released the promoter's lease",
        DescribeLease(promoter.mLease));
    return;
  }
  const bool wasHeld = HoldsPromoterLease(aContext);
  promoter.mHeldUntil = aSentAt + kPromoterLeaseDuration - kPromoterLeaseMargin;
  if (isNew && !isNext) {
    promoter.mFirstToken = promoter.mLease.mToken;
    promoter.mHeldSince = aContext.mNow;
  }
  if (isNew && !isNext && !wasHeld) {
    promoter.mHasReadRecords = false;
    RereadTable(aContext, Table::Fleet);
    SampleAllGroups(aContext);
  }
  if (isNew) {
    LogLeaseTaken(aContext);
  }
}

std::string_view
DescribeFailure(CallOutcome aOutcome)
{
  switch (aOutcome) {
    case CallOutcome::Conflict:
      return "another host wrote it first";
    case CallOutcome::Ok:
      return "the store had returned from an older copy";
    default:
      return "not confirmed";
  }
}

/// Logs that a claim, renewal or release of the lease was not written, with
/// the row that it was to replace.
void
LogLeaseNotWritten(Context& aContext, const StoreWritten& aEvent)
{
  const PromoterState& promoter = aContext.mState.mPromoter;
  std::vector<LogValue> values = DescribeLease(promoter.mWrittenLease);
  values.push_back({ "write", std::string(DescribeWrite(aContext)) });
  values.push_back(
    { "outcome", std::string(DescribeFailure(aEvent.mOutcome)) });
  values.push_back(
    { "took_ms", Milliseconds(aContext.mNow - promoter.mCallSentAt) });
  values.push_back(
    { "lease_left_ms", Milliseconds(PromoterLeaseLeft(aContext)) });
  Log(aContext,
      LogSeverity::Info,
      "the promoter's lease was not written",
      std::move(values));
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
  const bool isOfNewEra =
    EraOf(aLease.mRowVersion) > EraOf(promoter.mLease.mRowVersion);
  if (isOfNewEra && HoldsPromoterLease(aContext) && !IsOfRowEra(aLease)) {
    // The other hosts wait as long as the lease may last.
    promoter.mLease.mRowVersion = aLease.mRowVersion;
    promoter.mSeenAt = aSeenAt;
    return;
  }
  // A write whose answer did not arrive has taken effect.
  if (IsOwnLease(aContext, aLease) && IsOfRowEra(aLease) &&
      aLease.mToken == promoter.mWrittenLease.mToken) {
    ApplyLeaseWrite(
      aContext, aLease.mRowVersion, aSeenAt, promoter.mWrittenLeaseAt);
  }
  const bool isNewHolder = promoter.mLease.mHolder != aLease.mHolder;
  promoter.mLease = aLease;
  promoter.mIsKnown = true;
  promoter.mSeenAt =
    isOfNewEra ? std::max(aSeenAt, StoreTime(aContext)) : aSeenAt;
  if (!IsOwnLease(aContext, promoter.mLease)) {
    promoter.mHeldUntil = Instant{};
  }
  if (isNewHolder) {
    Log(aContext,
        LogSeverity::Info,
        "the holder of the promoter's lease changed",
        DescribeLease(promoter.mLease));
  }
}

}

bool
HoldsPromoterLease(const Context& aContext)
{
  return aContext.mNow < aContext.mState.mPromoter.mHeldUntil;
}

Duration
PromoterLeaseLeft(const Context& aContext)
{
  return HoldsPromoterLease(aContext)
           ? aContext.mState.mPromoter.mHeldUntil - aContext.mNow
           : Duration{ 0 };
}

void
ApplyStoredLease(Context& aContext, const TableAnswer& aAnswer)
{
  NoteStoreTime(aContext, aAnswer.mStoreTime);
  if (aAnswer.mLease) {
    ApplyLeaseRow(aContext, *aAnswer.mLease, aAnswer.mStoreTime);
  } else if (aAnswer.mIsSnapshot && EraOf(aAnswer.mVersion) > 0) {
    PromoterLease lost;
    lost.mRowVersion = MakeStoreVersion(EraOf(aAnswer.mVersion), 0);
    ApplyLeaseRow(aContext, lost, aAnswer.mStoreTime);
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
    // The next holder may give orders at once.
    if (isHeld && !HasOrderUnderway(aContext)) {
      ReleaseLease(aContext);
    }
  } else if (isHeld && HoldsPromoterLease(aContext) &&
             IsOfRowEra(promoter.mLease)) {
    RenewLease(aContext);
  } else if (aContext.mState.mReady && !HasOrderUnderway(aContext) &&
             (HoldsPromoterLease(aContext) || IsLeaseFree(aContext))) {
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
  const bool isOfWrittenEra =
    EraOf(aEvent.mVersion) == EraOf(promoter.mWrittenLease.mRowVersion);
  if (aEvent.mOutcome == CallOutcome::Ok && isOfWrittenEra) {
    NoteStoreTime(aContext, aEvent.mStoreTime);
    ApplyLeaseWrite(
      aContext, aEvent.mVersion, aEvent.mStoreTime, promoter.mCallSentAt);
    ApplyWrittenRecords(aContext, promoter.mWrittenRecords);
    // More may have to be recorded since the write was sent.
    aContext.mState.mTimers.ArmSooner(
      TimerKind::PromoterLease, 0, aContext.mNow);
    return true;
  }
  LogLeaseNotWritten(aContext, aEvent);
  if (aEvent.mOutcome == CallOutcome::Refused) {
    NoteFailedCall(aContext, promoter.mCallSentAt);
  }
  // The row shows who holds the lease now.
  RereadTable(aContext, Table::Fleet);
  return true;
}

}
