#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Whether a server's status is young enough to decide by.
bool IsFreshlyKnown(const Context& aContext, const Backend& aBackend);

std::size_t CountFreshlyKnown(const Context& aContext, const Group& aGroup);

/// How many replicas of the group are paused by anyone.
std::size_t CountPaused(const Context& aContext, const Group& aGroup);

/// Pauses replicas and has the old primary step down, as far as they can be
/// reached and have not done so.
void ContinueFencing(Context& aContext, Group& aGroup);

/// Whether enough servers have said, to requests sent since a time, that they
/// are paused by this change, so that no write can be acknowledged any more
/// and every acknowledged one is on a paused server.
bool IsFenced(const Context& aContext, const Group& aGroup, Instant aSince);

/// Whether a server has shown that it is not paused, or not any more.
bool IsFenceBroken(const Context& aContext, const Group& aGroup);

/// The paused server that has received the most, which thereby has every
/// acknowledged write; nullptr if there is none.
const Backend* BestCandidate(const Context& aContext, const Group& aGroup);

/// Ends the pauses of this change. Returns whether none is left on a server
/// that can be reached.
bool EndPauses(Context& aContext, Group& aGroup);

/// Ends what an earlier change of primary has left behind: a pause of a
/// single replica, and a primary of an older term.
void HealGroup(Context& aContext, Group& aGroup);

}
