#pragma once

#include <cstdint>
#include <string>

namespace camphorstep {

/// Formats microseconds since 1970 as "2026-12-04T07:50:00Z".
std::string FormatTime(std::int64_t aTime);

/// Reads "2026-12-04", "2026-12-04T07:50" or "2026-12-04T07:50:00Z" (UTC) as
/// microseconds since 1970; throws std::runtime_error.
std::int64_t ParseTime(const std::string& aText);

}
