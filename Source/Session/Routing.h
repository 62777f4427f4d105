#pragma once

#include <optional>

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Chooses a server for the active statement of a session and queues it there.
/// Without a suitable server the statement waits until the group has one.
void RouteStatement(Context& aContext, Session& aSession);

/// Routes the reads in the queue of a group's primary again, since a replica
/// may have reached the positions that they require. Their places in the order
/// of arrival stay the same.
void RerouteQueuedReads(Context& aContext, Group& aGroup);

/// The route for a session's next statement: that of its transaction, or the
/// current one of its database; nullptr if there is none.
const Route* RouteOf(const Context& aContext, const Session& aSession);

/// Whether a statement waits because it may write: the primary's term is
/// retired, so the primary is going to step down.
bool IsHeldBack(const Context& aContext,
                const Session& aSession,
                const Group& aGroup);

/// Whether only the primary may run the active statement of a session.
bool NeedsPrimary(const Context& aContext, const Session& aSession);

/// Whether a statement writes, also as a prepared statement.
bool IsWrite(const Session& aSession, const Statement& aStatement);

/// A log position that a read requires, and a time at which the primary had
/// already reached it.
struct RequiredPosition
{
  Position mPosition;
  Instant mSince;
};

/// The lowest log position at which a replica may serve the active read of the
/// session; none if no replica may. The allowed age counts from the arrival of
/// the read.
std::optional<RequiredPosition> RequiredReplicaPosition(
  const Context& aContext,
  const Session& aSession);

}
