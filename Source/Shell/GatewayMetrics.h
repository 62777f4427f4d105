#pragma once

#include <string>

#include "Gateway/State.h"

namespace camphorstep {

/// The gateway's counters and gauges in Prometheus' text format.
std::string MetricsText(const gateway::State& aState);

}
