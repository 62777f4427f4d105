#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Sends the active statement on its transaction's connection, or finds a
/// server for it.
void RunActiveStatement(Context& aContext, Session& aSession);

/// Gives an idle connection to a session whose statement was queued for it.
void StartOnLink(Context& aContext, Session& aSession, Link& aLink);

/// Takes a server's answer to a transaction's begin.
void HandleBeginReply(Context& aContext,
                      Link& aLink,
                      const BackendReply& aReply);

/// Takes a server's answer to the session's statement.
void HandleStatementReply(Context& aContext,
                          Link& aLink,
                          const BackendReply& aReply);

/// Ends what a lost connection was used for. The connection is forgotten
/// already.
void HandleLostLink(Context& aContext, const Link& aLink);

/// Ends a statement that is out of time, or looks again later.
void HandleStatementTimer(Context& aContext, SessionId aSession);

/// Sends a paused statement again.
void HandleRetryTimer(Context& aContext, SessionId aSession);

/// Drops the active statement of a caller that is gone.
void AbandonStatement(Context& aContext, Session& aSession);

}
