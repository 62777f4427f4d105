#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Handles a server's answer to the begin of a transaction.
void HandleBeginReply(Context& aContext,
                      Link& aLink,
                      const BackendReply& aReply);

/// Handles a server's answer to the active statement of a session.
void HandleStatementReply(Context& aContext,
                          Link& aLink,
                          const BackendReply& aReply);

/// Retries or fails the statement, and fails the transaction, that used a lost
/// connection. The connection has already been removed from the state.
void HandleLostLink(Context& aContext, const Link& aLink);

/// Fails a statement whose time limit has passed, or arms the timer again.
void HandleStatementTimer(Context& aContext, SessionId aSession);

}
