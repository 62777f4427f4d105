#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

// Whether callers may be served, by their keys. In a deployment without client
// accounts everyone may.

/// Whether the route of a session's next statement needs no key.
bool IsOnPublicRoute(const Context& aContext, const Session& aSession);

/// Finds the account of a session that is being opened. Returns false if the
/// caller may not be served; the session is refused then.
bool AuthorizeSession(Context& aContext, Session& aSession);

/// Checks the caller's key before a statement is handled. Returns false if it
/// may not be; then it has been answered and its transaction rolled back.
bool AuthorizeStatement(Context& aContext,
                        Session& aSession,
                        const Statement& aStatement);

/// Checks the caller's key before the active statement is sent to a server.
/// Returns false if it may not be; then it has been answered and its
/// transaction rolled back.
bool AuthorizeActive(Context& aContext, Session& aSession);

}
