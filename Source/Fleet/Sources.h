#pragma once

#include <string>
#include <vector>

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Whether another host of this host's data centre comes before it in the order
/// that all hosts share: those with the most processor time first.
bool PrecedesInDataCentre(const Context& aContext, const HostEntry& aHost);

/// The hosts that this one may query for reports, the best first: those of its
/// data centre that precede it, so that no two hosts query each other, then the
/// promoter. A data centre's first host thus queries the promoter, and the
/// others query the first.
std::vector<const HostEntry*> SourceCandidates(const Context& aContext);

/// The first candidate that is not in backoff, or nullptr.
const HostEntry* BestSource(const Context& aContext);

/// The host that is the source, or that is to be queried next; nullptr if there
/// is nobody to query.
const HostEntry* SourceOrCandidate(const Context& aContext);

/// How many hosts of the data centre precede this one and have not failed to
/// answer it lately.
std::size_t RankInDataCentre(const Context& aContext);

/// Whether this host has a source that answers its queries.
bool HasResponsiveSource(const Context& aContext);

/// Whether this host has such a source in its own data centre. It leaves the
/// store, the servers and the promoter's lease to others.
bool IsFollower(const Context& aContext);

/// Whether this host is about to learn which hosts it may query, or waits for
/// the first answer of one.
bool IsLookingForSource(const Context& aContext);

/// Drops the source and does not choose it again for a time, which is longer
/// each time in a row.
void BackOffSource(Context& aContext, const std::string& aReason);

/// Drops the source; it may be chosen again at once.
void DropSource(Context& aContext);

}
