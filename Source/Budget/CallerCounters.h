#pragma once

#include <cstdint>

namespace camphorstep {

/// Callers' connections that a host has refused or closed, by reason.
struct CallerCounters
{
  /// Refused because the memory, or the descriptors, were short.
  std::uint64_t mRefusedForMemory = 0;
  std::uint64_t mRefusedForDescriptors = 0;
  /// Closed because they held the most when the memory was short.
  std::uint64_t mClosedForMemory = 0;
  /// Closed because the session was not opened, a message not finished or an
  /// answer not read in time.
  std::uint64_t mOverdueOpenings = 0;
  std::uint64_t mOverdueMessages = 0;
  std::uint64_t mUnreadAnswers = 0;
  /// What the callers that stand hold, in bytes.
  std::uint64_t mHeldBytes = 0;

  bool operator==(const CallerCounters&) const = default;
};

}
