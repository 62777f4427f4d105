#pragma once

#include "Load/LoadSettings.h"

namespace camphorstep {

/// Measures what the proxy adds to the latency of a statement and what share
/// of a server's throughput it passes on, against a client of the same run
/// that talks to the server itself.
void RunOverhead(const LoadSettings& aSettings);

}
