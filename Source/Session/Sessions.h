#pragma once

#include "Gateway/Context.h"
#include "Gateway/Event.h"

namespace camphorstep::gateway {

void HandleSessionOpened(Context& aContext, const SessionOpened& aEvent);

void HandleStatementReceived(Context& aContext,
                             const StatementReceived& aEvent);

void HandleSessionEnded(Context& aContext, const SessionEnded& aEvent);

/// Starts the next statement that a session has sent ahead, or closes the
/// session if the host is stopping.
void ContinueSession(Context& aContext, SessionId aSession);

/// Ends a transaction that has been idle for too long.
void EndIdleTransaction(Context& aContext, SessionId aSession);

}
