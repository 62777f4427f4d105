#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Sends the active statement on the connection of its transaction. If there is
/// none, routes the statement to a server.
void RunActiveStatement(Context& aContext, Session& aSession);

/// Starts a queued statement of a session on an idle connection, or routes it
/// again if the server may no longer run it.
void StartOnLink(Context& aContext, Session& aSession, Link& aLink);

/// Retries a statement whose retry delay has passed.
void HandleRetryTimer(Context& aContext, SessionId aSession);

/// Drops the active statement of a session that has ended. A connection on
/// which it runs is closed, unless it belongs to a transaction.
void AbandonStatement(Context& aContext, Session& aSession);

}
