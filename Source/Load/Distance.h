#pragma once

#include "Load/LoadSettings.h"

namespace camphorstep {

/// Measures latency at a host of each data centre over links with delays, and
/// what a statement costs on the link between regions.
void RunDistance(const LoadSettings& aSettings);

}
