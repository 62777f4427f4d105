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

/// Has a server forget the session values and prepared statements of a
/// connection.
void ResetLink(Context& aContext, Link& aLink);

/// Whether a connection keeps more values and prepared statements than one that
/// serves no session may.
bool KeepsTooMuch(const Context& aContext, const Link& aLink);

/// The name of a prepared statement on servers, the same for all callers that
/// prepare the same.
std::string ServerSideName(const PreparedStatement& aPrepared);

}
