#pragma once

#include <cstdint>

#include "Common/Time.h"

namespace camphorstep {

/// Reads the monotonic clock that goes on while the machine is suspended, so
/// that a lease cannot outlive a suspension.
Instant MonotonicNow();

/// Reads the wall clock: microseconds since 1970, UTC.
std::int64_t WallClockNow();

/// Draws 64 random bits from the operating system.
std::uint64_t RandomBits();

}
