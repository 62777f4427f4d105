#include "Budget/ProcessLimits.h"

#include <algorithm>

namespace camphorstep {

namespace {

constexpr double kBytesPerMb = 1024.0 * 1024.0;

/// Shares of the memory. The larger part is left to the process itself: its
/// program, the configuration, the servers' entries and other hosts' reports.
constexpr std::size_t kCallerShare = 4;
constexpr std::size_t kAnswerShare = 16;
constexpr std::size_t kPeerShare = 16;

/// Descriptors that are reserved for files, as long as there are enough.
constexpr std::size_t kFileDescriptors = 200;
constexpr std::size_t kMaxFileShare = 4;
/// Shares of the other descriptors. What is left is for backend servers, the
/// store and other hosts.
constexpr std::size_t kCallerDescriptorPercent = 60;
constexpr std::size_t kPeerDescriptorShare = 8;
constexpr std::size_t kMonitorDescriptorShare = 32;

}

ProcessLimits
DivideProcess(double aMemoryMb, std::int64_t aDescriptors)
{
  ProcessLimits limits;
  if (aMemoryMb > 0) {
    const auto bytes = static_cast<std::size_t>(aMemoryMb * kBytesPerMb);
    limits.mCallerBytes = bytes / kCallerShare;
    limits.mAnswerBytes = bytes / kAnswerShare;
    limits.mPeerBytes = bytes / kPeerShare;
  }
  if (aDescriptors > 0) {
    const auto all = static_cast<std::size_t>(aDescriptors);
    const std::size_t usable =
      all - std::min(kFileDescriptors, all / kMaxFileShare);
    limits.mCallers = usable * kCallerDescriptorPercent / 100;
    limits.mPeers = std::min(limits.mPeers, usable / kPeerDescriptorShare);
    limits.mMonitors =
      std::clamp<std::size_t>(usable / kMonitorDescriptorShare, 2, 64);
  }
  return limits;
}

}
