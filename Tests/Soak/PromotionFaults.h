#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "Faults.h"

namespace camphorstep::soak {

/// Adds faults around changes of primary: the primary ends while calls to
/// promote another, or what these depend on, are held up, lost or refused.
/// They are drawn apart, so that the others of a seed stay the same.
void AddPromotionFaults(std::vector<Fault>& aSchedule,
                        std::uint64_t aSeed,
                        std::chrono::milliseconds aLength,
                        std::size_t aServers);

}
