#pragma once

#include <optional>

#include "Common/Time.h"
#include "Entry/EntryState.h"
#include "Model/Ids.h"
#include "Model/Position.h"

namespace camphorstep {

struct State;

/// The backend server that a request goes to.
struct Route
{
  ServerId mServer;
  bool mNeedsPrimary = true;
  /// The least position that the server must have applied.
  Position mMinPosition;
};

/// Chooses the server for a request by the freshness that its profile requires;
/// nothing if neither a replica is suitable nor a primary known.
std::optional<Route> ChooseRoute(const State& aState,
                                 Instant aNow,
                                 RequestId aRequest,
                                 const PendingRequest& aPending);

/// Whether an answer of a replica has data older than the profile allows. The
/// choice of the replica only estimates this; the check of the answer enforces
/// the limit.
bool IsTooOld(const State& aState,
              Instant aNow,
              const PendingRequest& aPending,
              Position aPosition);

}
