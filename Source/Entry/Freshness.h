#pragma once

#include <optional>

#include "Common/Time.h"
#include "Entry/EntryState.h"
#include "Model/Ids.h"
#include "Model/Position.h"

namespace camphorstep {

struct State;

/// Adds a sample of a primary. Samples that follow too closely or are out of
/// order are dropped, and old ones thinned out, so that few samples cover a
/// long time.
void AddPrimarySample(DatabaseUse& aUse, const PrimarySample& aSample);

/// Drops the samples of earlier terms. A replaced primary may have continued to
/// answer for a while, so its positions do not bound the age of data. The
/// samples of the new primary start with the first entry of its term.
void DropOlderTerms(DatabaseUse& aUse, Term aTerm);

/// Updates the lag estimate of a replica from its latest view. The estimate
/// rises at once and falls slowly, so that reads return to a replica gradually
/// after it has caught up.
void UpdateLagEstimate(const DatabaseUse& aUse, KnownServer& aKnown);

/// Returns an upper bound of the age of data at a position. It needs no shared
/// clock: a position that the primary had at time t lacks only writes after t.
/// Returns nothing if no sample of the primary is at or before the position.
std::optional<Duration> AgeOf(const DatabaseUse& aUse,
                              Instant aNow,
                              Position aPosition);

/// Returns the least sampled position that contains all that the primary had
/// written by a time; nothing if no sample is as recent.
std::optional<Position> MinPositionAt(const DatabaseUse& aUse, Instant aTime);

/// Estimates the time until a replica has applied a position.
Duration ExpectedCatchUpDelay(const DatabaseUse& aUse,
                              const KnownServer& aReplica,
                              Instant aNow,
                              Position aPosition);

}
