#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Starts a planned stop, unless one is in progress.
void BeginStop(Context& aContext);

/// Advances a planned stop: closes idle sessions, ends open transactions after
/// their part of the grace time, and completes the stop.
void ContinueStop(Context& aContext);

/// If the host is stopping, closes a session that has no statement, no open
/// transaction and no statement expected soon.
void CloseIdleSessionAtStop(Context& aContext, Session& aSession);

/// Whether an idle session's next statement is expected soon, and may have been
/// sent already. Closing the session would leave it without an answer.
bool IsStatementDue(const Context& aContext,
                    bool aIsExpected,
                    Instant aIdleSince);

/// Completes the planned stop if no session is left and new ones are refused.
void CompleteStopIfIdle(Context& aContext);

/// Whether new sessions are refused: the stop has lasted long enough for the
/// load balancer to have seen that the host is not ready.
bool IsRefusingSessions(const Context& aContext);

}
