#pragma once

#include <optional>

#include "Messages/Event.h"
#include "Messages/PeerMessage.h"
#include "Model/Ids.h"

namespace camphorstep {

struct Context;
struct State;

void HandlePeerConnected(Context& aContext, HostId aHost);

void HandlePeerDisconnected(Context& aContext, HostId aHost);

void HandleHeartbeat(Context& aContext,
                     HostId aFrom,
                     const Heartbeat& aMessage);

void HandleSilentPeerNotice(Context& aContext,
                            const SilentPeerNotice& aMessage);

/// Sends heartbeats that are due and detects silent peers.
void TickMembership(Context& aContext);

/// Sends a heartbeat to the ring neighbours in this data centre at once, so
/// that a new configuration version spreads from neighbour to neighbour.
void SendHeartbeatToNeighbours(Context& aContext);

/// Sends a heartbeat to all connected peers at once.
void SendHeartbeatToAllPeers(Context& aContext);

/// Whether a host can be reached and accepts new work.
bool IsAvailable(const State& aState, HostId aHost);

/// Chooses the host that dispatches for a server: by rendezvous hashing
/// among the available hosts of the server's data centre, or of the nearest
/// data centre that has any. A stopping host chooses itself if there is no
/// other. Nothing if no host at all is available.
std::optional<HostId> DispatcherOf(const State& aState, ServerId aServer);

}
