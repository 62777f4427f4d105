#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "Reducer/Counters.h"

namespace camphorstep {

/// A database as a host sees it.
struct DatabaseStatus
{
  std::string mName;
  std::string mPrimary;
  std::uint64_t mTerm = 0;
};

/// A peer as a host sees it.
struct PeerSummary
{
  std::string mName;
  bool mConnected = false;
  bool mLeaving = false;
};

/// Bytes sent to peers since the start, by how near they are.
struct PeerTraffic
{
  std::uint64_t mSameDataCentre = 0;
  std::uint64_t mSameRegion = 0;
  std::uint64_t mOtherRegion = 0;
};

/// A copy of what operators and metrics ask about.
struct StatusSnapshot
{
  std::string mHost;
  std::uint64_t mVersion = 0;
  bool mStopping = false;
  std::vector<DatabaseStatus> mDatabases;
  std::vector<PeerSummary> mPeers;
  Counters mCounters;
  PeerTraffic mTraffic;
};

/// Hands the latest snapshot from the event loop's thread to others.
class StatusBoard
{
public:
  void Put(StatusSnapshot aSnapshot)
  {
    const std::lock_guard lock(mMutex);
    mSnapshot = std::move(aSnapshot);
  }

  StatusSnapshot Get() const
  {
    const std::lock_guard lock(mMutex);
    return mSnapshot;
  }

private:
  mutable std::mutex mMutex;
  StatusSnapshot mSnapshot;
};

}
