#pragma once

namespace camphorstep {

struct Context;
struct State;

/// Starts a planned stop: the health check fails from now on, and peers are
/// notified so that they choose other dispatchers. Does nothing if a stop is
/// already in progress.
void BeginStop(Context& aContext);

/// Whether the host refuses requests that begin new work. After a stop has
/// begun it still serves them for StopState::mNoticeDelay, so that the balancer
/// can detect the failing health check.
bool RefusesNewWork(const Context& aContext);

/// Ends a planned stop once nothing has been in progress long enough for
/// answers to leave the host, or shortly after its time limit.
void TickStop(Context& aContext);

}
