#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Messages/StoreMessage.h"

namespace camphorstep {

/// What the stand-in platform keeps: rows, objects and the list of machines.
/// May be used from several threads.
class PlatformState
{
public:
  using Clock = std::chrono::steady_clock;

  std::vector<StoreRow> Query(const StoreQuery& aQuery) const;

  /// Carries a transaction out, or returns false if a version does not fit.
  bool Transact(const StoreTransaction& aTransaction);

  void PutObject(const std::string& aName, std::string aContent);
  std::optional<std::string> GetObject(const std::string& aName) const;
  std::vector<std::string> ListObjects(const std::string& aPrefix) const;

  /// Notes a change of a machine; the list shows it after the lag.
  void NoteMachine(const ListedMachine& aMachine);

  /// Notes that a machine is gone.
  void RemoveMachine(const std::string& aName);

  /// The list as it was one lag ago.
  std::vector<ListedMachine> Machines(Clock::duration aLag) const;

private:
  using MachineList = std::map<std::string, ListedMachine>;

  /// The list of machines from a time on.
  struct DatedList
  {
    Clock::time_point mSince;
    MachineList mMachines;
  };

  std::uint64_t VersionOf(const std::string& aKey) const;
  MachineList LatestMachines() const;

  mutable std::mutex mMutex;
  std::map<std::string, StoreRow> mRows;
  std::map<std::string, std::string> mObjects;
  /// Oldest first.
  std::deque<DatedList> mMachineHistory;
};

}
