#include "Standin/PlatformState.h"

#include <algorithm>
#include <utility>

namespace camphorstep {

std::vector<StoreRow>
PlatformState::Query(const StoreQuery& aQuery) const
{
  const std::lock_guard lock(mMutex);
  std::vector<StoreRow> rows;
  for (const std::string& key : aQuery.mKeys) {
    const auto it = mRows.find(key);
    rows.push_back(it == mRows.end() ? StoreRow{ key, 0, "" } : it->second);
  }
  if (aQuery.mFrom.empty()) {
    return rows;
  }
  for (auto it = mRows.lower_bound(aQuery.mFrom);
       it != mRows.end() && it->first < aQuery.mTo;
       ++it) {
    if (rows.size() == aQuery.mKeys.size() + aQuery.mLimit) {
      break;
    }
    rows.push_back(it->second);
  }
  return rows;
}

bool
PlatformState::Transact(const StoreTransaction& aTransaction)
{
  const std::lock_guard lock(mMutex);
  const auto fits = [this](const auto& aItem) {
    return VersionOf(aItem.mKey) == aItem.mVersion;
  };
  const bool allFit =
    std::all_of(
      aTransaction.mChecks.begin(), aTransaction.mChecks.end(), fits) &&
    std::all_of(aTransaction.mWrites.begin(), aTransaction.mWrites.end(), fits);
  if (!allFit) {
    return false;
  }
  for (const StoreRow& row : aTransaction.mWrites) {
    mRows[row.mKey] = StoreRow{ row.mKey, row.mVersion + 1, row.mValue };
  }
  return true;
}

void
PlatformState::PutObject(const std::string& aName, std::string aContent)
{
  const std::lock_guard lock(mMutex);
  mObjects[aName] = std::move(aContent);
}

std::optional<std::string>
PlatformState::GetObject(const std::string& aName) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mObjects.find(aName);
  return it == mObjects.end() ? std::nullopt
                              : std::optional<std::string>(it->second);
}

std::vector<std::string>
PlatformState::ListObjects(const std::string& aPrefix) const
{
  const std::lock_guard lock(mMutex);
  std::vector<std::string> names;
  for (auto it = mObjects.lower_bound(aPrefix);
       it != mObjects.end() && it->first.starts_with(aPrefix);
       ++it) {
    names.push_back(it->first);
  }
  return names;
}

void
PlatformState::NoteMachine(const ListedMachine& aMachine)
{
  const std::lock_guard lock(mMutex);
  MachineList machines = LatestMachines();
  machines[aMachine.mName] = aMachine;
  mMachineHistory.push_back({ Clock::now(), std::move(machines) });
}

void
PlatformState::RemoveMachine(const std::string& aName)
{
  const std::lock_guard lock(mMutex);
  MachineList machines = LatestMachines();
  machines.erase(aName);
  mMachineHistory.push_back({ Clock::now(), std::move(machines) });
}

std::vector<ListedMachine>
PlatformState::Machines(Clock::duration aLag) const
{
  const std::lock_guard lock(mMutex);
  const Clock::time_point shown = Clock::now() - aLag;
  const auto it = std::find_if(
    mMachineHistory.rbegin(),
    mMachineHistory.rend(),
    [shown](const DatedList& aList) { return aList.mSince <= shown; });
  std::vector<ListedMachine> machines;
  if (it != mMachineHistory.rend()) {
    for (const auto& [name, machine] : it->mMachines) {
      machines.push_back(machine);
    }
  }
  return machines;
}

std::uint64_t
PlatformState::VersionOf(const std::string& aKey) const
{
  const auto it = mRows.find(aKey);
  return it == mRows.end() ? 0 : it->second.mVersion;
}

PlatformState::MachineList
PlatformState::LatestMachines() const
{
  return mMachineHistory.empty() ? MachineList{}
                                 : mMachineHistory.back().mMachines;
}

}
