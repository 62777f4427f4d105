#pragma once

#include "Load/LoadSettings.h"

namespace camphorstep {

/// The scenario "leaving": reads run on a replica, which is then listed as
/// leaving; prints how long it still got new work, and then the same for
/// writes on the primary.
void RunLeaving(const LoadSettings& aSettings);

}
