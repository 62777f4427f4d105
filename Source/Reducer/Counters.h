#pragma once

#include <array>
#include <cstdint>

#include "Model/Profile.h"
#include "Reducer/LatencyHistogram.h"

namespace camphorstep {

/// Request counts of one rank at this host.
struct RankCounters
{
  std::uint64_t mAccepted = 0;
  std::uint64_t mDone = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  /// Refused at the entry because a dispatcher had no room.
  std::uint64_t mRefusedAtEntry = 0;
  /// From a request's arrival to its answer, for requests that ran.
  LatencyHistogram mLatency;
};

/// Monotonic counts that the shell exports as metrics.
struct Counters
{
  std::array<RankCounters, kRankCount> mRanks;
  std::uint64_t mReplicaReads = 0;
  std::uint64_t mPrimaryReads = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mLateAnswers = 0;
  std::uint64_t mConnectionsOpened = 0;
  std::uint64_t mConnectionsLost = 0;
  /// Changes of primary that this host has carried out.
  std::uint64_t mPromotions = 0;
};

}
