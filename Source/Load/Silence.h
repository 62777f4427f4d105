#pragma once

#include "Load/LoadSettings.h"

namespace camphorstep {

/// Makes all connections to a database's servers silent for good, again and
/// again, while callers write. Measures how long callers go without service,
/// and checks that no write that is not idempotent landed twice or was lost.
void RunSilence(const LoadSettings& aSettings);

}
