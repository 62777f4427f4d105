#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// A server receives writes, and so lets the primary acknowledge them, before
/// its entry is in the store: a new one, or one that was down and is back. Its
/// copy is hidden from the count of copies. What shows that there may be one,
/// and how a takeover waits for its entry.

/// Whether a server of the group is not listed any more, or is leaving, and
/// none has joined in its place: that one may receive writes without being
/// listed.
bool IsServerAwaited(const Context& aContext, const Group& aGroup);

/// Whether the old primary is a candidate and its log has every acknowledged
/// write, so that no other copy need be known: it is paused by the takeover,
/// and was the last to lead.
bool IsOldPrimaryComplete(const Context& aContext, const Group& aGroup);

/// Until when an entry may be missing that was not accepted while the store was
/// away: every failed call of this host shows such a time.
Instant EntriesMissingUntil(const Context& aContext);

/// The time at which the list of servers has to be confirmed before a
/// promotion, if the fence's wait ended at aWaitEnd.
Instant ListNeededSince(const Context& aContext,
                        const Group& aGroup,
                        Instant aWaitEnd);

}
