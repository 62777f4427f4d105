#pragma once

#include <cstdint>

#include "Common/Time.h"

namespace camphorstep {

/// Delay after which a refused caller should retry, before jitter.
constexpr Duration kRetryHint = std::chrono::milliseconds(200);

/// Adds jitter from a seed to a retry hint, so that refused callers do not all
/// retry at once. Returns 0.5 to 1.5 times the hint.
Duration JitterRetryHint(std::uint64_t aSeed, Duration aHint);

}
