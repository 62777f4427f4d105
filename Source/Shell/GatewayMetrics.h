#pragma once

#include <string>

#include "Budget/CallerCounters.h"
#include "Gateway/State.h"

namespace camphorstep {

/// The gateway's counters and gauges in Prometheus' text format.
std::string MetricsText(const gateway::State& aState,
                        const CallerCounters& aCallers = {});

}
