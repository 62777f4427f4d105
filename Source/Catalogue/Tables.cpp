#include "Catalogue/Tables.h"

#include <algorithm>
#include <array>
#include <utility>

#include "Catalogue/Hosts.h"
#include "Catalogue/Routing.h"
#include "Catalogue/Servers.h"
#include "Common/NamedEnum.h"
#include "Fleet/Reports.h"
#include "Fleet/Sources.h"
#include "Gateway/Readiness.h"
#include "Gateway/Tuning.h"
#include "Group/Copies.h"
#include "Group/Promoter.h"
#include "Group/RetiredTerms.h"
#include "RateLimits/RateLimits.h"

namespace camphorstep::gateway {

namespace {

constexpr std::array kTableNames{
  EnumName<Table>{ Table::Operator, "operator" },
  EnumName<Table>{ Table::Servers, "servers" },
  EnumName<Table>{ Table::Fleet, "fleet" },
};

/// How old a table's confirmation may be on a host that is told by others,
/// before it asks the store itself. The host that the others ask does so
/// before them.
struct AgeLimits
{
  Duration mSource;
  Duration mFollower;
};

/// Half of the time after which a configuration is out of date; no limit if it
/// never is.
Duration
MaxConfirmationAge(const Context& aContext)
{
  const Duration timeout = aContext.mState.mSelf.mRevokeTimeout;
  return timeout == Duration{ 0 } ? Duration::max() : timeout / 2;
}

AgeLimits
AgeLimitsOf(const Context& aContext, Table aTable)
{
  const Duration most = MaxConfirmationAge(aContext);
  switch (aTable) {
    case Table::Operator:
      return { std::min<Duration>(1'800ms, most),
               std::min<Duration>(2'300ms, most) };
    case Table::Servers:
      return { 2'500ms, 3'500ms };
    case Table::Fleet:
      break;
  }
  return { 5s, 8s };
}

/// Whether others tell this host of the store's tables, or are about to. A
/// source that is late once does not change that.
bool
IsToldByOthers(const Context& aContext)
{
  return !HoldsPromoterLease(aContext) &&
         SourceOrCandidate(aContext) != nullptr;
}

/// How old a table's confirmation may be on a host that is told by others.
/// Those of a data centre call the store one after the other: the answer may be
/// large, and all of them share the link to the store.
Duration
MaxAgeOf(const Context& aContext, Table aTable)
{
  const AgeLimits limits = AgeLimitsOf(aContext, aTable);
  const std::size_t rank = RankInDataCentre(aContext);
  if (rank == 0) {
    return limits.mSource;
  }
  const Duration delay =
    kFollowerCallDelay * static_cast<Duration::rep>(rank - 1);
  return limits.mFollower + std::min(delay, kMaxFollowerCallDelay);
}

void
ArmPoll(Context& aContext, Table aTable, Instant aDue)
{
  aContext.mState.mTimers.Arm(
    TimerKind::PollTable, static_cast<std::uint64_t>(aTable), aDue);
}

/// Servers and the promoter write their rows all the time, so these changes
/// are collected; the operator's are rare and are waited for.
Duration
PollInterval(const Context& aContext, Table aTable)
{
  switch (aTable) {
    case Table::Operator:
      return Duration{ 0 };
    case Table::Servers:
      return kServersPollInterval;
    case Table::Fleet:
      break;
  }
  return HoldsPromoterLease(aContext) ? kHostsPollInterval
                                      : kServersPollInterval;
}

/// When the store is to be asked for a table.
Instant
NextPoll(const Context& aContext, Table aTable, const TableProgress& aProgress)
{
  if (aProgress.mReread || aProgress.mIsConfirmationNeeded) {
    return aContext.mNow;
  }
  if (!IsToldByOthers(aContext)) {
    return aContext.mNow + PollInterval(aContext, aTable);
  }
  return aProgress.mConfirmedAt + MaxAgeOf(aContext, aTable);
}

StoreCallReason
ReasonToCall(const Context& aContext, const TableProgress& aProgress)
{
  if (!aProgress.mKnown || aProgress.mReread) {
    return StoreCallReason::WholeTable;
  }
  if (aProgress.mFailures > 0) {
    return StoreCallReason::Retry;
  }
  if (aProgress.mIsConfirmationNeeded) {
    return StoreCallReason::Demanded;
  }
  if (HoldsPromoterLease(aContext)) {
    return StoreCallReason::Promoter;
  }
  if (!IsToldByOthers(aContext)) {
    return StoreCallReason::NoSource;
  }
  return HasResponsiveSource(aContext) ? StoreCallReason::Unconfirmed
                                       : StoreCallReason::SourceLate;
}

/// Counts a call for a table. Logs it if another host should have made it
/// needless.
void
NoteTableCall(Context& aContext, Table aTable, const TableProgress& aProgress)
{
  const StoreCallReason reason = ReasonToCall(aContext, aProgress);
  Counters& counters = aContext.mState.mCounters;
  ++counters.mStoreCalls;
  ++counters.mTableCalls.at(static_cast<std::size_t>(reason));
  if (reason != StoreCallReason::SourceLate &&
      reason != StoreCallReason::Unconfirmed) {
    return;
  }
  Log(aContext,
      LogSeverity::Info,
      "calling the platform's store instead of the source",
      { { "table", std::string(NameIn(kTableNames, aTable)) },
        { "reason", std::string(NameIn(kStoreCallReasonNames, reason)) },
        { "source", aContext.mState.mFleet.mSourceState.mSource },
        { "version", std::to_string(aProgress.mVersion) },
        { "age_ms", Milliseconds(aContext.mNow - aProgress.mConfirmedAt) } });
}

void
NoteUnreachable(Context& aContext,
                Table aTable,
                TableProgress& aProgress,
                CallOutcome aOutcome)
{
  aProgress.mFailedCallAt = aProgress.mCalledAt;
  // That a call for another table was lost on its way says nothing of what
  // servers have written.
  if (aTable == Table::Servers || aOutcome == CallOutcome::Refused) {
    NoteFailedCall(aContext, aProgress.mCalledAt);
  }
  if (++aProgress.mFailures > 1) {
    return;
  }
  Log(aContext,
      LogSeverity::Warning,
      "the platform's store does not answer",
      { { "table", std::string(NameIn(kTableNames, aTable)) },
        { "version", std::to_string(aProgress.mVersion) },
        { "age_ms", Milliseconds(aContext.mNow - aProgress.mConfirmedAt) } });
}

/// Whether the table had not been confirmed for so long that entries in it
/// may have lapsed meanwhile.
bool
WasUnavailable(const Context& aContext,
               const TableProgress& aProgress,
               Table aTable,
               Instant aConfirmedAt)
{
  return aProgress.mFailures > 0 || aConfirmedAt - aProgress.mConfirmedAt >
                                      AgeLimitsOf(aContext, aTable).mFollower;
}

/// How long the store may hold a call that waits for a change. Where the
/// configuration can be out of date, its confirmations have to be fresh.
Duration
WatchTimeout(const Context& aContext)
{
  constexpr int kWatchesPerRevokeTimeout = 10;
  const Duration timeout = aContext.mState.mSelf.mRevokeTimeout;
  return timeout == Duration{ 0 }
           ? kTableWatchTimeout
           : std::min(kTableWatchTimeout, timeout / kWatchesPerRevokeTimeout);
}

Duration
RetryDelay(const TableProgress& aProgress)
{
  return std::min(kStoreRetryDelay * std::max(1U, aProgress.mFailures),
                  kMaxStoreRetryDelay);
}

/// The version up to which all rows of a table are known. Reports of other
/// hosts have the hosts' entries, but not always the groups' records.
StoreVersion
CompleteVersion(const Context& aContext,
                Table aTable,
                const TableProgress& aProgress)
{
  return aTable == Table::Fleet
           ? std::min(aProgress.mVersion,
                      aContext.mState.mCatalogue.mRetiredTerms.mVersion)
           : aProgress.mVersion;
}

/// Whether the store has returned from an older copy since the rows that this
/// host has.
bool
IsOfOtherEra(const TableProgress& aProgress, const TableAnswer& aAnswer)
{
  return EraOf(aAnswer.mVersion) != EraOf(aProgress.mVersion);
}

/// Joins the pages of a whole read. Returns the answer once it is complete.
std::optional<TableAnswer>
JoinPages(Context& aContext, TableProgress& aProgress, const TableAnswer& aPage)
{
  if (aProgress.mPages &&
      EraOf(aProgress.mPages->mVersion) != EraOf(aPage.mVersion)) {
    aProgress.mPages.reset();
    RereadTable(aContext, aPage.mTable);
    return std::nullopt;
  }
  if (!aProgress.mPages) {
    // Rows of the first page are known up to its own version only.
    aProgress.mPages = aPage;
  } else {
    TableAnswer& whole = *aProgress.mPages;
    whole.mServers.insert(
      whole.mServers.end(), aPage.mServers.begin(), aPage.mServers.end());
    whole.mHosts.insert(
      whole.mHosts.end(), aPage.mHosts.begin(), aPage.mHosts.end());
    whole.mRecords.insert(
      whole.mRecords.end(), aPage.mRecords.begin(), aPage.mRecords.end());
    whole.mLease = aPage.mLease ? aPage.mLease : whole.mLease;
    whole.mRouting = aPage.mRouting ? aPage.mRouting : whole.mRouting;
    whole.mStoreTime = aPage.mStoreTime;
  }
  if (aPage.mContinuationKey.empty()) {
    return std::exchange(aProgress.mPages, std::nullopt);
  }
  aProgress.mCall = NewId<CallId>(aContext);
  ++aContext.mState.mCounters.mStoreCalls;
  Emit(aContext,
       ReadTable{ aProgress.mCall, aPage.mTable, aPage.mContinuationKey });
  return std::nullopt;
}

/// Handles a call that did not bring rows.
void
HandleFailedPoll(Context& aContext,
                 TableProgress& aProgress,
                 const TableAnswer& aAnswer)
{
  aProgress.mPages.reset();
  if (aAnswer.mOutcome == CallOutcome::HistoryLost) {
    RereadTable(aContext, aAnswer.mTable);
    return;
  }
  NoteUnreachable(aContext, aAnswer.mTable, aProgress, aAnswer.mOutcome);
  ArmPoll(aContext, aAnswer.mTable, aContext.mNow + RetryDelay(aProgress));
}

}

bool
IsTableKnown(const Context& aContext, Table aTable)
{
  return aContext.mState.mCatalogue.mTables[static_cast<std::size_t>(aTable)]
    .mKnown;
}

bool
IsTableConfirmedSince(const Context& aContext, Table aTable, Instant aTime)
{
  return aContext.mState.mCatalogue.mTables[static_cast<std::size_t>(aTable)]
           .mConfirmedAt >= aTime;
}

Confirmation
ConfirmationOfRouting(const Context& aContext)
{
  const TableProgress& progress =
    aContext.mState.mCatalogue
      .mTables[static_cast<std::size_t>(Table::Operator)];
  return { aContext.mNow - progress.mConfirmedAt,
           aContext.mState.mSelf.mRevokeTimeout };
}

bool
IsTableFailing(const Context& aContext, Table aTable)
{
  return aContext.mState.mCatalogue.mTables[static_cast<std::size_t>(aTable)]
           .mFailures > 0;
}

TableProgress&
ProgressOf(Context& aContext, Table aTable)
{
  return aContext.mState.mCatalogue.mTables.at(
    static_cast<std::size_t>(aTable));
}

void
PollTable(Context& aContext, Table aTable)
{
  TableProgress& progress = ProgressOf(aContext, aTable);
  if (progress.mCall) {
    return;
  }
  const Instant due = NextPoll(aContext, aTable, progress);
  const bool isSuppliedByPeer = progress.mKnown && !progress.mReread &&
                                progress.mFailures == 0 &&
                                IsToldByOthers(aContext) && due > aContext.mNow;
  if (isSuppliedByPeer) {
    ArmPoll(aContext, aTable, due);
    return;
  }
  NoteTableCall(aContext, aTable, progress);
  progress.mCall = NewId<CallId>(aContext);
  progress.mCalledAt = aContext.mNow;
  progress.mIsConfirmationNeeded = false;
  const StoreVersion version = CompleteVersion(aContext, aTable, progress);
  if (!progress.mKnown || progress.mReread ||
      EraOf(version) != EraOf(progress.mVersion)) {
    progress.mReread = false;
    Emit(aContext, ReadTable{ progress.mCall, aTable, "" });
    return;
  }
  // After a failure the store has to show at once that it answers, and a host
  // that is told by others has no need to wait.
  const bool isLongPoll = aTable == Table::Operator &&
                          progress.mFailures == 0 && !IsToldByOthers(aContext);
  Emit(aContext,
       WatchTable{ progress.mCall,
                   aTable,
                   version,
                   isLongPoll ? WatchTimeout(aContext) : Duration{ 0 } });
}

void
PollTableSoon(Context& aContext, Table aTable)
{
  ArmPoll(aContext, aTable, aContext.mNow);
}

void
ConfirmTableSoon(Context& aContext, Table aTable)
{
  TableProgress& progress = ProgressOf(aContext, aTable);
  // After a failure the table has its own time of the next call.
  if (progress.mKnown && !progress.mCall && progress.mFailures == 0) {
    progress.mIsConfirmationNeeded = true;
    PollTableSoon(aContext, aTable);
  }
}

void
RereadTable(Context& aContext, Table aTable)
{
  ProgressOf(aContext, aTable).mReread = true;
  PollTableSoon(aContext, aTable);
}

void
HandleTableAnswer(Context& aContext, const TableAnswer& aAnswer)
{
  TableProgress& progress = ProgressOf(aContext, aAnswer.mTable);
  if (progress.mCall != aAnswer.mCall) {
    return;
  }
  progress.mCall = CallId{};
  aContext.mState.mCounters.mTableBytes += aAnswer.mBytes;
  if (aAnswer.mOutcome != CallOutcome::Ok) {
    HandleFailedPoll(aContext, progress, aAnswer);
    return;
  }
  std::optional<TableAnswer> answer = aAnswer;
  if (!aAnswer.mIsSnapshot && IsOfOtherEra(progress, aAnswer)) {
    // What the store has lost and written again is not among the changes.
    RereadTable(aContext, aAnswer.mTable);
    return;
  }
  if (aAnswer.mIsSnapshot) {
    answer = JoinPages(aContext, progress, aAnswer);
    if (!answer) {
      return;
    }
  }
  if (answer->mTable == Table::Fleet) {
    ApplyStoredLease(aContext, *answer);
    ApplyStoredRecords(aContext, *answer, progress.mCalledAt);
    ConfirmRetiredTerms(aContext, progress.mCalledAt, answer->mVersion);
  }
  // Another host may have told of a later version meanwhile.
  if (progress.mKnown && answer->mVersion < progress.mVersion) {
    ArmPoll(aContext, answer->mTable, aContext.mNow + RetryDelay(progress));
    return;
  }
  NoteConfirmed(aContext, answer->mTable, answer->mVersion, progress.mCalledAt);
  ApplyRows(aContext, *answer);
  ArmPoll(
    aContext, answer->mTable, NextPoll(aContext, answer->mTable, progress));
  UpdateReadiness(aContext);
}

void
ApplyRows(Context& aContext, const TableAnswer& aAnswer)
{
  TableProgress& progress = ProgressOf(aContext, aAnswer.mTable);
  bool hasChanged = !progress.mKnown;
  switch (aAnswer.mTable) {
    case Table::Operator:
      hasChanged |=
        aAnswer.mRouting && ApplyRouting(aContext, *aAnswer.mRouting);
      break;
    case Table::Servers:
      hasChanged |= ApplyServers(aContext, aAnswer);
      break;
    case Table::Fleet:
      hasChanged |= ApplyHosts(aContext, aAnswer);
      if (!HasResponsiveSource(aContext)) {
        aContext.mState.mTimers.ArmSooner(
          TimerKind::QueryPeer, 0, aContext.mNow);
      }
      break;
  }
  progress.mKnown = true;
  progress.mVersion = std::max(progress.mVersion, aAnswer.mVersion);
  if (hasChanged) {
    progress.mContentVersion = progress.mVersion;
    aContext.mState.mTimers.ArmSooner(
      TimerKind::SendPeerReports, 0, aContext.mNow);
  }
}

void
NoteConfirmed(Context& aContext,
              Table aTable,
              StoreVersion aVersion,
              Instant aAt)
{
  TableProgress& progress = ProgressOf(aContext, aTable);
  const bool wasUnavailable = WasUnavailable(aContext, progress, aTable, aAt);
  // Another host may report what it learned before this host's call failed.
  const bool answersAgain =
    progress.mFailures > 0 && aAt >= progress.mFailedCallAt;
  if (answersAgain) {
    progress.mFailures = 0;
    Log(aContext,
        LogSeverity::Info,
        "the platform's store answers again",
        { { "table", std::string(NameIn(kTableNames, aTable)) },
          { "version", std::to_string(aVersion) } });
  }
  if (wasUnavailable && aTable == Table::Servers) {
    RestartMissingGrace(aContext);
  }
  progress.mVersion = std::max(progress.mVersion, aVersion);
  progress.mConfirmedAt = std::max(progress.mConfirmedAt, aAt);
}

void
NoteFailedCall(Context& aContext, Instant aCalledAt)
{
  Instant& failedAt = aContext.mState.mCatalogue.mFailedCallAt;
  failedAt = std::max(failedAt, aCalledAt);
}

void
RegisterHost(Context& aContext)
{
  Catalogue& catalogue = aContext.mState.mCatalogue;
  if (catalogue.mRegistered || catalogue.mRegisterCall) {
    return;
  }
  catalogue.mRegisterCall = NewId<CallId>(aContext);
  ++aContext.mState.mCounters.mStoreCalls;
  Emit(aContext,
       WriteHostEntry{ catalogue.mRegisterCall, aContext.mState.mSelf.mEntry });
}

void
HandleStoreWritten(Context& aContext, const StoreWritten& aEvent)
{
  if (HandleLeaseWritten(aContext, aEvent)) {
    return;
  }
  Catalogue& catalogue = aContext.mState.mCatalogue;
  if (catalogue.mRegisterCall != aEvent.mCall) {
    return;
  }
  catalogue.mRegisterCall = CallId{};
  catalogue.mRegistered = aEvent.mOutcome == CallOutcome::Ok;
  if (catalogue.mRegistered) {
    catalogue.mRegisteredVersion = aEvent.mVersion;
    NoteOwnEntryWritten(aContext);
    PollTableSoon(aContext, Table::Fleet);
  } else {
    aContext.mState.mTimers.Arm(
      TimerKind::RegisterHost, 0, aContext.mNow + kStoreRetryDelay);
  }
}

}
