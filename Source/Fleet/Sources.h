#pragma once

#include <string>
#include <vector>

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// The hosts that this one may ask for news, the best first: those of its own
/// data centre that come before it in an order which all hosts share, so that
/// nobody follows in a circle, then the promoter. A data centre's first host
/// thus asks the promoter, and the others ask the first.
std::vector<const HostEntry*> SourceCandidates(const Context& aContext);

/// The first candidate that is not passed over, or nullptr.
const HostEntry* BestSource(const Context& aContext);

/// Whether this host hears a source.
bool HasResponsiveSource(const Context& aContext);

/// Whether this host hears a source in its own data centre. Such a host
/// leaves the store, the servers and the promoter's lease to others.
bool IsFollower(const Context& aContext);

/// Whether this host is about to learn whom it may ask, or waits for the first
/// answer of one.
bool IsLookingForSource(const Context& aContext);

/// Passes a source over for some time, longer each time in a row.
void BackOffSource(Context& aContext, const std::string& aReason);

}
