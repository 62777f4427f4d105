#pragma once

#include <string>

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// How much must be sent on a connection before it serves a session: zero if
/// nothing.
int PreparationCost(const Link& aLink, const Session& aSession);

/// Brings a connection's session values to those of a session, and prepares
/// the statement that the session executes, if any.
void PrepareLink(Context& aContext,
                 Link& aLink,
                 const Session& aSession,
                 const Statement& aStatement);

/// The name of a prepared statement on servers, the same for all callers that
/// prepare the same.
std::string ServerSideName(const PreparedStatement& aPrepared);

}
