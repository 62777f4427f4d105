#include "Catalogue/Tables.h"

#include <algorithm>
#include <array>

#include "Catalogue/Routing.h"
#include "Catalogue/Servers.h"
#include "Common/NamedEnum.h"
#include "Gateway/Readiness.h"
#include "Gateway/Tuning.h"
#include "Group/Promoter.h"
#include "Group/Sharing.h"

namespace camphorstep::gateway {

namespace {

constexpr std::array kTableNames{
  EnumName<Table>{ Table::Operator, "operator" },
  EnumName<Table>{ Table::Servers, "servers" },
  EnumName<Table>{ Table::Fleet, "fleet" },
};

TableProgress&
ProgressOf(Context& aContext, Table aTable)
{
  return aContext.mState.mCatalogue.mTables[static_cast<std::size_t>(aTable)];
}

void
ArmPoll(Context& aContext, Table aTable, Duration aDelay)
{
  aContext.mState.mTimers.ArmSooner(TimerKind::PollTable,
                                    static_cast<std::uint64_t>(aTable),
                                    aContext.mNow + aDelay);
}

/// Servers and the promoter write their rows all the time, so these changes
/// are collected; the operator's are rare and are waited for.
bool
IsCollected(Table aTable)
{
  return aTable != Table::Operator;
}

Duration
PollInterval(const Context& aContext, Table aTable)
{
  const bool acts = HoldsPromoterLease(aContext) && aTable == Table::Servers;
  const bool isTold = HoldsPromoterLease(aContext) || HearsPromoter(aContext);
  return isTold && !acts ? kFollowerPollInterval : kPollInterval;
}

void
NoteReachability(Context& aContext,
                 TableProgress& aProgress,
                 Table aTable,
                 bool aLost)
{
  if (aProgress.mLost == aLost) {
    return;
  }
  aProgress.mLost = aLost;
  Log(aContext,
      aLost ? LogSeverity::Warning : LogSeverity::Info,
      aLost ? "the platform's store does not answer"
            : "the platform's store answers again",
      { { "table", std::string(NameIn(kTableNames, aTable)) },
        { "version", std::to_string(aProgress.mVersion) } });
  if (!aLost && aTable == Table::Servers) {
    RestartMissingGrace(aContext);
  }
}

void
ApplyHosts(Context& aContext, const TableAnswer& aAnswer)
{
  Catalogue& catalogue = aContext.mState.mCatalogue;
  if (aAnswer.mWhole) {
    catalogue.mHosts.clear();
  }
  for (const RowChange<HostEntry>& change : aAnswer.mHosts) {
    if (change.mEntry) {
      catalogue.mHosts[change.mKey] = *change.mEntry;
    } else {
      catalogue.mHosts.erase(change.mKey);
    }
  }
  NoteLease(aContext, aAnswer);
}

void
ApplyRows(Context& aContext, const TableAnswer& aAnswer)
{
  switch (aAnswer.mTable) {
    case Table::Operator:
      if (aAnswer.mRouting) {
        ApplyRouting(aContext, *aAnswer.mRouting);
      }
      break;
    case Table::Servers:
      ApplyServers(aContext, aAnswer);
      break;
    case Table::Fleet:
      ApplyHosts(aContext, aAnswer);
      break;
  }
}

}

bool
IsTableKnown(const Context& aContext, Table aTable)
{
  return aContext.mState.mCatalogue.mTables[static_cast<std::size_t>(aTable)]
    .mKnown;
}

void
PollTable(Context& aContext, Table aTable)
{
  TableProgress& progress = ProgressOf(aContext, aTable);
  if (progress.mCall) {
    return;
  }
  progress.mCall = NewId<CallId>(aContext);
  ++aContext.mState.mCounters.mStoreCalls;
  if (!progress.mKnown || progress.mReread) {
    progress.mReread = false;
    Emit(aContext, ReadTable{ progress.mCall, aTable });
    return;
  }
  // After a failure the store has to show at once that it answers.
  const bool waits = !IsCollected(aTable) && !progress.mLost;
  Emit(aContext,
       FollowTable{ progress.mCall,
                    aTable,
                    progress.mVersion,
                    waits ? kFollowWait : Duration{ 0 } });
}

void
HastenPoll(Context& aContext, Table aTable)
{
  ArmPoll(aContext, aTable, Duration{ 0 });
}

void
RereadTable(Context& aContext, Table aTable)
{
  ProgressOf(aContext, aTable).mReread = true;
  ArmPoll(aContext, aTable, Duration{ 0 });
}

void
HandleTableAnswer(Context& aContext, const TableAnswer& aAnswer)
{
  TableProgress& progress = ProgressOf(aContext, aAnswer.mTable);
  if (progress.mCall != aAnswer.mCall) {
    return;
  }
  progress.mCall = CallId{};
  switch (aAnswer.mOutcome) {
    case CallOutcome::Ok:
      break;
    case CallOutcome::HistoryLost:
      progress.mReread = true;
      ArmPoll(aContext, aAnswer.mTable, Duration{ 0 });
      return;
    default:
      NoteReachability(aContext, progress, aAnswer.mTable, true);
      ArmPoll(aContext, aAnswer.mTable, kStoreRetryDelay);
      return;
  }
  NoteReachability(aContext, progress, aAnswer.mTable, false);
  progress.mKnown = true;
  progress.mVersion = std::max(progress.mVersion, aAnswer.mVersion);
  ApplyRows(aContext, aAnswer);
  ArmPoll(aContext,
          aAnswer.mTable,
          IsCollected(aAnswer.mTable) ? PollInterval(aContext, aAnswer.mTable)
                                      : Duration{ 0 });
  UpdateReadiness(aContext);
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
  if (!catalogue.mRegistered) {
    aContext.mState.mTimers.Arm(
      TimerKind::RegisterHost, 0, aContext.mNow + kStoreRetryDelay);
  }
}

}
