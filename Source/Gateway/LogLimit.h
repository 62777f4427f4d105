#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "Common/Time.h"
#include "Messages/Effect.h"

namespace camphorstep::gateway {

struct Context;

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

/// Whether one more line may be written, with at most a number of them in a
/// second; counts it as left out if not.
bool MayLog(LogLimit& aLimit, Instant aNow, std::uint32_t aMaxLines);

/// Emits a log record unless one of its kind was emitted in the same second. It
/// states how many were left out before it.
void LogLimited(Context& aContext,
                LogLimit& aLimit,
                LogSeverity aSeverity,
                std::string_view aEvent,
                std::vector<LogValue> aValues);

}
