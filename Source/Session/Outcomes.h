#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

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

}
