#pragma once

#include <vector>

#include "Messages/Effect.h"
#include "Messages/Event.h"
#include "Reducer/State.h"

namespace camphorstep {

/// Applies one event to the state and returns the resulting effects. Uses no
/// clock, socket, thread or random source: the same state and events give
/// the same effects.
std::vector<Effect> Step(State& aState, const Event& aEvent);

}
