#pragma once

#include <cstddef>
#include <vector>

#include "Load/StandinClient.h"
#include "Load/SteadyWriter.h"

namespace camphorstep {

/// What the servers' logs say of the answers that writers got.
struct FailoverFindings
{
  std::size_t mAcknowledged = 0;
  std::size_t mUnknown = 0;
  std::size_t mNotRun = 0;
  /// Acknowledged, and not in the log.
  std::size_t mLost = 0;
  /// In the log more than once.
  std::size_t mRunTwice = 0;
  /// Answered "not run", and in the log.
  std::size_t mRunAfterAll = 0;
  /// Sent after a write of a later term was acknowledged, and acknowledged
  /// by a primary of an earlier one.
  std::size_t mAcknowledgedByReplaced = 0;
};

FailoverFindings CheckLog(const std::vector<WriteRecord>& aRecords,
                          const std::vector<StandinLogEntry>& aLog);

}
