#pragma once

#include "Load/LoadSettings.h"

namespace camphorstep {

/// Measures which share of the reads replicas serve, and judges every read,
/// while one replica falls far behind and returns.
void RunReplicaReads(const LoadSettings& aSettings);

}
