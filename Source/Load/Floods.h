#pragma once

#include "Load/LoadSettings.h"

namespace camphorstep {

/// Floods the fleet with work of the least urgent rank at ten times what the
/// database can take, and measures what the other ranks get.
void RunFloodLow(const LoadSettings& aSettings);

/// The same with work of the most urgent rank.
void RunFloodUrgent(const LoadSettings& aSettings);

}
