#pragma once

#include <chrono>

namespace camphorstep {

using Duration = std::chrono::microseconds;

/// Tag for the monotonic time line of one process. It has no now(): time
/// enters the core with each event.
struct MonotonicTimeline
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  static constexpr bool is_steady = true;
};

/// A point on the monotonic time line of one process.
using Instant = std::chrono::time_point<MonotonicTimeline, Duration>;

}
