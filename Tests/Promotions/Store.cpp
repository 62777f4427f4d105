#include "Promotions/Store.h"

#include <algorithm>

namespace camphorstep::promotions {

using namespace gateway;
using gateway::CallId;

namespace {

/// The later eras whose marks a write of the lease looks at.
constexpr std::uint64_t kGuardedEras = 3;
/// How many copies are kept.
constexpr std::size_t kMaxCopies = 60;

/// Adds the rows of a table that were written after a number.
template<typename Value, typename Changes>
void
AddRows(const std::map<std::string, Row<Value>>& aRows,
        std::uint64_t aAfter,
        bool aAddsRemoved,
        Changes& aChanges)
{
  for (const auto& [key, row] : aRows) {
    if (row.mNumber > aAfter && (row.mValue || aAddsRemoved)) {
      aChanges.push_back({ key, row.mValue });
    }
  }
}

TableAnswer
MakeAnswer(const Store& aStore, CallId aCall, Table aTable, Instant aNow)
{
  TableAnswer answer;
  answer.mCall = aCall;
  answer.mTable = aTable;
  answer.mOutcome = CallOutcome::Ok;
  answer.mVersion = CurrentVersion(aStore);
  answer.mStoreTime = aNow.time_since_epoch();
  return answer;
}

void
FillAnswer(const Store& aStore,
           std::uint64_t aAfter,
           bool aAddsRemoved,
           TableAnswer& aAnswer)
{
  const StoreRows& rows = aStore.mRows;
  switch (aAnswer.mTable) {
    case Table::Operator:
      if (rows.mRouting.mNumber > aAfter) {
        aAnswer.mRouting = rows.mRouting.mValue;
      }
      break;
    case Table::Servers:
      AddRows(rows.mServers, aAfter, aAddsRemoved, aAnswer.mServers);
      break;
    case Table::Fleet:
      AddRows(rows.mHosts, aAfter, aAddsRemoved, aAnswer.mHosts);
      if (rows.mLease.mNumber > aAfter && rows.mLease.mValue) {
        aAnswer.mLease = rows.mLease.mValue;
        aAnswer.mLease->mRowVersion =
          MakeStoreVersion(aStore.mEra, rows.mLease.mNumber);
      }
      for (const auto& [group, row] : rows.mRecords) {
        if (row.mNumber > aAfter) {
          aAnswer.mRecords.push_back(*row.mValue);
        }
      }
      break;
  }
}

/// Whether the lease was written in an era after the given one.
bool
IsWrittenLater(const Store& aStore, std::uint64_t aEra)
{
  const auto later = aStore.mRows.mLeaseEras.upper_bound(aEra);
  return later != aStore.mRows.mLeaseEras.end() &&
         later->first <= aEra + kGuardedEras;
}

}

StoreVersion
CurrentVersion(const Store& aStore)
{
  return MakeStoreVersion(aStore.mEra, aStore.mRows.mNumber);
}

void
PutServer(Store& aStore, const ServerEntry& aEntry)
{
  aStore.mRows.mServers[aEntry.mName] = { ++aStore.mRows.mNumber, aEntry };
}

void
RemoveServer(Store& aStore, const std::string& aName)
{
  const auto row = aStore.mRows.mServers.find(aName);
  if (row != aStore.mRows.mServers.end() && row->second.mValue) {
    row->second = { ++aStore.mRows.mNumber, std::nullopt };
  }
}

void
PutHost(Store& aStore, const HostEntry& aEntry)
{
  aStore.mRows.mHosts[aEntry.mName] = { ++aStore.mRows.mNumber, aEntry };
}

TableAnswer
ReadRows(const Store& aStore, const ReadTable& aCall, Instant aNow)
{
  TableAnswer answer = MakeAnswer(aStore, aCall.mCall, aCall.mTable, aNow);
  answer.mIsSnapshot = true;
  FillAnswer(aStore, 0, false, answer);
  return answer;
}

TableAnswer
ReadChanges(const Store& aStore, const WatchTable& aCall, Instant aNow)
{
  TableAnswer answer = MakeAnswer(aStore, aCall.mCall, aCall.mTable, aNow);
  if (EraOf(aCall.mAfter) == aStore.mEra) {
    FillAnswer(aStore, NumberOf(aCall.mAfter), true, answer);
  }
  return answer;
}

bool
HasChanges(const Store& aStore, const WatchTable& aCall)
{
  const TableAnswer answer = ReadChanges(aStore, aCall, Instant{});
  return EraOf(aCall.mAfter) != aStore.mEra || answer.mRouting ||
         answer.mLease || !answer.mServers.empty() || !answer.mHosts.empty() ||
         !answer.mRecords.empty();
}

StoreWritten
PutLease(Store& aStore, const WriteLease& aCall, Instant aNow)
{
  StoreRows& rows = aStore.mRows;
  const std::uint64_t era = EraOf(aCall.mLease.mRowVersion);
  const bool isGuarded = aStore.mGuardsEra && IsWrittenLater(aStore, era);
  if (rows.mLease.mNumber != NumberOf(aCall.mLease.mRowVersion) || isGuarded) {
    return { aCall.mCall,
             CallOutcome::Conflict,
             CurrentVersion(aStore),
             aNow.time_since_epoch() };
  }
  const std::uint64_t number = ++rows.mNumber;
  rows.mLease = { number, aCall.mLease };
  for (const GroupRecord& record : aCall.mRecords) {
    rows.mRecords[record.mGroup] = { number, record };
  }
  if (era > 0) {
    rows.mLeaseEras[era] = { number, true };
  }
  return { aCall.mCall,
           CallOutcome::Ok,
           MakeStoreVersion(aStore.mEra, number),
           aNow.time_since_epoch() };
}

void
KeepCopy(Store& aStore, Instant aNow)
{
  aStore.mCopies.emplace_back(aNow, aStore.mRows);
  if (aStore.mCopies.size() > kMaxCopies) {
    aStore.mCopies.pop_front();
  }
}

void
ReturnFromCopy(Store& aStore, Instant aTime)
{
  const auto copy =
    std::find_if(aStore.mCopies.rbegin(),
                 aStore.mCopies.rend(),
                 [&](const auto& aCopy) { return aCopy.first <= aTime; });
  if (copy == aStore.mCopies.rend()) {
    return;
  }
  aStore.mRows = copy->second;
  ++aStore.mEra;
  aStore.mCopies.clear();
}

}
