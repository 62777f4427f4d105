#pragma once

#include <vector>

#include "Common/Time.h"

namespace camphorstep {

/// The value below which the given share (0 to 1) of the latencies lies;
/// zero if there are none.
Duration PercentileOf(std::vector<Duration> aLatencies, double aShare);

}
