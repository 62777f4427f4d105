#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Sends the active statement on its transaction's connection, or finds a
/// server for it.
void RunActiveStatement(Context& aContext, Session& aSession);

/// Gives an idle connection to a session whose statement was queued for it.
void StartOnLink(Context& aContext, Session& aSession, Link& aLink);

/// Sends a paused statement again.
void HandleRetryTimer(Context& aContext, SessionId aSession);

/// Drops the active statement of a caller that is gone.
void AbandonStatement(Context& aContext, Session& aSession);

}
