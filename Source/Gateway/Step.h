#pragma once

#include <optional>
#include <vector>

#include "Gateway/Effect.h"
#include "Gateway/Event.h"
#include "Gateway/State.h"

namespace camphorstep::gateway {

/// Sets the timers of a state that has just been made.
void Start(State& aState, Instant aNow);

/// Applies one event to the state and returns what is to be done. Uses no
/// clock, socket, thread or random source: the same state and events give
/// the same effects.
std::vector<Effect> Step(State& aState, const Event& aEvent);

}
