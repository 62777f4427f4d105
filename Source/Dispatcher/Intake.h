#pragma once

#include <array>

#include "Dispatcher/DispatcherState.h"
#include "Messages/PeerMessage.h"
#include "Model/Profile.h"

namespace camphorstep {

/// Adjusts the admission windows to the queueing delay. When a rank has had
/// delayed requests for long enough, its window is narrowed to the number of
/// requests that keeps the slots busy, given the round trip to the farthest
/// host. The window grows again step by step once the delay is short.
void UpdateIntake(ServerDispatch& aDispatch,
                  const Configuration& aConfiguration,
                  int aLimit,
                  Instant aNow);

/// The number of waiting requests and the admission window of each entry host,
/// by rank. A window of zero means no limit.
std::array<RankIntake, kRankCount> IntakeOf(
  const ServerDispatch& aDispatch,
  const Configuration& aConfiguration);

}
