#pragma once

#include <optional>

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Finds a server for a session's statement and queues it there, or holds it
/// until the group has one.
void RouteStatement(Context& aContext, Session& aSession);

/// The route that holds for a session's next statement, or nullptr.
const Route* RouteOf(const Context& aContext, const Session& aSession);

/// Whether only the primary may run a session's statement.
bool NeedsPrimary(const Context& aContext, const Session& aSession);

/// Whether a statement writes.
bool Writes(const Session& aSession, const Statement& aStatement);

/// A position that a read has to see, and the time since when it existed.
struct RequiredPosition
{
  Position mPosition;
  Instant mSince;
};

/// The least position with which a replica may answer the session now; none
/// if only the primary may.
std::optional<RequiredPosition> RequiredOfReplica(const Context& aContext,
                                                  const Session& aSession);

}
