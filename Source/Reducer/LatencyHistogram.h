#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "Common/Time.h"

namespace camphorstep {

/// Upper bounds of the histogram's buckets. Latencies above the last bound
/// count in the total only.
inline constexpr std::array<Duration, 14> kLatencyBounds{
  std::chrono::microseconds(500),   std::chrono::milliseconds(1),
  std::chrono::microseconds(2'500), std::chrono::milliseconds(5),
  std::chrono::milliseconds(10),    std::chrono::milliseconds(25),
  std::chrono::milliseconds(50),    std::chrono::milliseconds(100),
  std::chrono::milliseconds(250),   std::chrono::milliseconds(500),
  std::chrono::seconds(1),          std::chrono::milliseconds(2'500),
  std::chrono::seconds(5),          std::chrono::seconds(10),
};

/// Counts latencies by size.
struct LatencyHistogram
{
  /// Number of latencies in each bucket, not cumulative.
  std::array<std::uint64_t, kLatencyBounds.size()> mBuckets{};
  std::uint64_t mCount = 0;
  Duration mSum{ 0 };

  void Observe(Duration aLatency)
  {
    ++mCount;
    mSum += aLatency;
    const auto* const it =
      std::lower_bound(kLatencyBounds.begin(), kLatencyBounds.end(), aLatency);
    if (it != kLatencyBounds.end()) {
      ++mBuckets[static_cast<std::size_t>(it - kLatencyBounds.begin())];
    }
  }
};

}
