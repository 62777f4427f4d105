#pragma once

#include <optional>
#include <vector>

#include "Gateway/Effect.h"
#include "Gateway/Event.h"
#include "Gateway/State.h"

namespace camphorstep::gateway {

/// Arms the initial timers of a new state.
void Start(State& aState, Instant aNow);

/// Applies one event to the state, then runs the timers that are due, and
/// returns the effects in order. Uses no clock, socket, thread or random
/// source, so that the same state and events always give the same effects.
std::vector<Effect> Step(State& aState, const Event& aEvent);

}
