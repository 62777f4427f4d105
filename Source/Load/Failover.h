#pragma once

#include "Load/LoadSettings.h"

namespace camphorstep {

/// Changes the primary again and again, by ending it, by cutting it off and
/// by plan, under steady writers. Prints the gaps in which nothing was
/// acknowledged, and checks the servers' logs for writes that were lost, run
/// twice or acknowledged by a replaced primary.
void RunFailover(const LoadSettings& aSettings);

}
