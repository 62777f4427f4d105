#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Whether all copies, the old primary's included, were paused by the takeover
/// at or after aSince. Then no server leads, and no term is unseen.
bool AreAllPaused(const Context& aContext, const Group& aGroup, Instant aSince);

/// Whether a server's recent status shows that it is paused by the takeover.
bool IsPausedByTakeover(const Context& aContext,
                        const Group& aGroup,
                        const Backend& aBackend);

/// Whether the first replica is the better candidate: the one that has received
/// more, then one that is not leaving, then the lower id, so that all promoters
/// choose alike.
bool IsBetterCandidate(const Backend& aFirst, const Backend& aSecond);

/// Whether a server's status was requested at most kMaxFenceStatusAge ago.
bool HasRecentStatus(const Context& aContext, const Backend& aBackend);

std::size_t CountRecentStatuses(const Context& aContext, const Group& aGroup);

/// Counts the servers of a group with a recent status that are paused, by any
/// takeover.
std::size_t CountPaused(const Context& aContext, const Group& aGroup);

/// Describes, for the log, the newest status of each server of a group and the
/// copies on servers that are not listed: "s2 1.107 pause 2 age 35" is a
/// position, the term of a pause and the status's age in milliseconds.
std::string DescribeStatuses(const Context& aContext, const Group& aGroup);

/// Sends the pause command to replicas that are not yet paused by this
/// takeover, and the step-down command to a primary, where the control
/// connection is free.
void ContinueFencing(Context& aContext, Group& aGroup);

/// Sends the step-down command to an old primary that has returned. Pauses no
/// replica: a promotion that is underway ends the pauses.
void StepDownOldPrimary(Context& aContext, Group& aGroup);

/// Whether enough servers have reported, in answer to requests sent since
/// aSince, that they are paused by this takeover: no further write can then be
/// acknowledged, and every acknowledged write is on a paused server.
bool IsFenced(const Context& aContext, const Group& aGroup, Instant aSince);

/// Whether the recent status of a server shows that this takeover does not
/// pause it.
bool IsFenceBroken(const Context& aContext, const Group& aGroup);

/// Whether the old primary may have acknowledged writes that no known replica
/// has. A primary whose writes reach no replica has acknowledged none of them,
/// if all other copies are known and paused. It would not replicate after it
/// was promoted, either.
bool NeedsOldPrimary(const Context& aContext, const Group& aGroup);

/// Returns the paused server with the highest received position, which
/// therefore has every acknowledged write; nullptr if there is none. The old
/// primary is left out if it is not needed.
const Backend* BestCandidate(const Context& aContext, const Group& aGroup);

/// Resumes the paused servers other than the primary. Returns whether no
/// reachable server is paused.
bool EndPauses(Context& aContext, Group& aGroup);

/// Cleans up after an interrupted takeover: resumes paused replicas and has a
/// primary of an older term step down.
void CleanUpAfterTakeover(Context& aContext, Group& aGroup);

}
