#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "Common/Time.h"
#include "Messages/Effect.h"

namespace camphorstep::gateway {

struct Context;

/// Limits records of one kind to one a second, so that a flood of refusals does
/// not become a flood of records.
struct LogLimit
{
  Instant mNextAt;
  /// Records that were left out since the last one.
  std::uint64_t mLeftOut = 0;
};

/// Emits a log record unless one of its kind was emitted less than a second
/// ago. It states how many were left out before it.
void LogLimited(Context& aContext,
                LogLimit& aLimit,
                LogSeverity aSeverity,
                std::string_view aEvent,
                std::vector<LogValue> aValues);

}
