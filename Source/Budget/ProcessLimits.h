#pragma once

#include <cstddef>
#include <cstdint>

namespace camphorstep {

/// What the memory and the descriptors of a process leave to each kind of
/// connection. Bytes that are 0 set no limit.
struct ProcessLimits
{
  /// What callers' connections and sessions hold.
  std::size_t mCallerBytes = 0;
  /// Answers of backend servers that have not arrived as a whole.
  std::size_t mAnswerBytes = 0;
  /// What connections from other hosts hold.
  std::size_t mPeerBytes = 0;

  /// Connections that may stand at the same time.
  std::size_t mCallers = SIZE_MAX;
  std::size_t mPeers = 4'096;
  /// Of each listener for monitoring.
  std::size_t mMonitors = 64;

  bool operator==(const ProcessLimits&) const = default;
};

/// Divides the memory, in megabytes, and the descriptors of a process; 0 sets
/// no limit.
ProcessLimits DivideProcess(double aMemoryMb, std::int64_t aDescriptors);

}
