#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Starts a planned stop.
void BeginStop(Context& aContext);

/// Does what is due during a planned stop.
void ContinueStop(Context& aContext);

/// Closes a session that waits for nothing, if the host is stopping.
void CloseIdleSessionAtStop(Context& aContext, Session& aSession);

/// Ends the process if it is stopping and no session is left.
void CompleteStopIfIdle(Context& aContext);

/// Whether new sessions are refused because the balancer should know better.
bool RefusesNewSessions(const Context& aContext);

}
