#pragma once

#include <array>
#include <cstdint>

#include "Model/Profile.h"
#include "Reducer/LatencyHistogram.h"

namespace camphorstep::gateway {

/// Statement counters of one rank.
struct StatementCounters
{
  std::uint64_t mServed = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mFailed = 0;
  /// Time from arrival to answer of the statements that were served.
  LatencyHistogram mLatency;
};

/// Monotonic counters, exported as metrics.
struct Counters
{
  std::array<StatementCounters, kRankCount> mRanks;
  std::uint64_t mSessions = 0;
  std::uint64_t mReplicaReads = 0;
  std::uint64_t mPrimaryReads = 0;
  std::uint64_t mRetries = 0;
  /// Reads that were sent once more because a server answered with an error.
  std::uint64_t mErrorRetries = 0;
  /// Servers that were ejected for failing statements, trials sent to them, and
  /// servers that got reads again.
  std::uint64_t mEjections = 0;
  std::uint64_t mTrials = 0;
  std::uint64_t mReadmissions = 0;
  std::uint64_t mLinksOpened = 0;
  std::uint64_t mLinksLost = 0;
  std::uint64_t mStatusRequests = 0;
  std::uint64_t mPromotions = 0;
  /// Orders to promote a server that were given to the platform.
  std::uint64_t mPromotionOrders = 0;
  /// Those that were given up without a clear answer. Such an order may have
  /// taken effect.
  std::uint64_t mOrdersUnanswered = 0;
  /// Takeovers that paused all servers again because one was not paused.
  std::uint64_t mTakeoverRestarts = 0;
  /// Commits that a server acknowledged in a term that had ended.
  std::uint64_t mCommitsOfEndedTerm = 0;
  /// Commits that a server acknowledged without evidence that it was still the
  /// primary.
  std::uint64_t mCommitsUnproved = 0;
  std::uint64_t mStoreCalls = 0;
};

}
