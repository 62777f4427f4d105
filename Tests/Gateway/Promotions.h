#pragma once

#include <optional>

#include "GatewayDriver.h"

namespace camphorstep::gateway {

/// Runs until the core requests a promotion from the platform. Returns nullopt
/// if it requests none within aTime.
inline std::optional<PromoteServer>
RunUntilPromotion(GatewayDriver& aDriver, Duration aTime)
{
  using namespace std::chrono_literals;
  aDriver.mReadsServers = true;
  for (Duration passed{ 0 }; passed < aTime; passed += 10ms) {
    aDriver.Run(10ms);
    if (auto promotion = aDriver.Take<PromoteServer>()) {
      return promotion;
    }
  }
  return std::nullopt;
}

}
