#pragma once

#include <cstdint>

#include "Common/Time.h"

namespace camphorstep::gateway {

/// Counts lines of one kind, so that callers cannot have a host write any
/// number of them.
struct LogLimit
{
  /// When the current second of counting began.
  Instant mSince;
  std::uint32_t mLines = 0;
  /// Lines that were left out since the last one that was written.
  std::uint64_t mLeftOut = 0;
};

/// Whether one more line may be written; counts it as left out if not.
bool MayLog(LogLimit& aLimit, Instant aNow);

}
