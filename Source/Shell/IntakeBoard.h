#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <shared_mutex>

#include "Common/Time.h"
#include "Messages/CallerMessage.h"
#include "Messages/Effect.h"

namespace camphorstep {

/// Where the core posts which calls it would refuse for load, so that the
/// threads that read calls refuse them at once. A flood then costs the event
/// loop nothing, and other calls do not wait for it there. Thread-safe.
class IntakeBoard
{
public:
  void Set(const SetIntake& aIntake);

  /// When the caller is to try again, if the call is refused.
  std::optional<Duration> RefusalFor(const CallerRequest& aRequest);

  /// Calls of each rank that have been refused here.
  std::array<std::uint64_t, kRankCount> Refused() const;

private:
  mutable std::shared_mutex mMutex;
  std::map<CallClass, Rank> mClosed;
  std::array<std::atomic<std::uint64_t>, kRankCount> mRefused{};
};

}
