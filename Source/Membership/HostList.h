#pragma once

#include "Messages/Event.h"
#include "Messages/PeerMessage.h"
#include "Model/Ids.h"

namespace camphorstep {

struct Context;
struct State;

// The platform's list of machines, which lags behind their actual state.
// Relays read it and notify the hosts of their data centre which machines are
// leaving.

/// Reads the list if this host is a relay and it is time.
void TickHostList(Context& aContext);

/// Starts a planned change of primary for each listed leaving server that is a
/// primary and that this host dispatches for.
void ReplaceLeavingPrimaries(Context& aContext);

void HandleHostListAnswered(Context& aContext, const HostListAnswered& aEvent);

void HandleLeavingNotice(Context& aContext,
                         HostId aFrom,
                         const LeavingNotice& aMessage);

/// Whether a peer is leaving: according to its own heartbeat, or to the list
/// unless the peer has since been restarted with a higher generation.
bool IsHostLeaving(const State& aState, HostId aHost);

/// Whether a backend server is leaving and must get no new work.
bool IsServerLeaving(const State& aState, ServerId aServer);

}
