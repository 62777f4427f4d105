#pragma once

#include "Load/LoadSettings.h"

namespace camphorstep {

/// Takes the primary away for five seconds and measures how many statements
/// reach the servers for each call, and how long it takes after the return
/// until calls are served as before.
void RunRetryStorm(const LoadSettings& aSettings);

}
