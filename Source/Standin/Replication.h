#pragma once

#include "Standin/DatabaseState.h"
#include "Standin/Faults.h"
#include "Standin/StandinSettings.h"

namespace camphorstep {

/// Follows the leader for ever: fetches its log as it grows.
void FollowLeader(const StandinSettings& aSettings,
                  DatabaseState& aState,
                  const Faults& aFaults);

/// Applies logged entries after the replica's lag, for ever.
void ApplyWithLag(DatabaseState& aState, const Faults& aFaults);

}
