#pragma once

#include "Model/Profile.h"

namespace camphorstep {

struct State;

/// Returns how many requests of a rank may be in progress at this host. Each
/// request occupies a thread of the callers' listener. If the limits of all
/// ranks exceed the number of threads, they are scaled down by the same factor
/// (to at least 1), so that no rank can use up the threads that read the
/// requests of another.
int InProgressLimit(const State& aState, Rank aRank);

}
