#pragma once

#include "Dispatcher/DispatcherState.h"
#include "Model/Ids.h"

namespace camphorstep {

struct Context;

/// Detects connections that have become permanently silent while new ones work.
/// A connection without replies for a while is probed. Once a probe is late,
/// the other idle connections are probed too, so that they receive no
/// statements. Connections are recorded as silent only if the server has
/// replied on another connection to a later request; otherwise the server
/// itself may not respond.

/// Sends a Status request on a connection that has no probe in flight.
void SendProbe(Context& aContext,
               ConnectionId aId,
               ServerConnection& aConnection);

/// Records that the server replied on a connection to a request sent at
/// aSentAt.
void NoteConnectionReply(Context& aContext,
                         ServerDispatch& aDispatch,
                         ServerConnection& aConnection,
                         Instant aSentAt);

/// Probes connections that have had no reply for a while, and all connections
/// without a request in flight once a probe is late.
void ProbeIdleConnections(Context& aContext, ServerDispatch& aDispatch);

/// Closes the connections whose opening, probe, statement or transaction has
/// taken too long.
void DropOverdueConnections(Context& aContext, ServerDispatch& aDispatch);

/// Whether a connection's probe is late, so that the connection may be silent.
bool IsProbeLate(const Context& aContext, const ServerConnection& aConnection);

}
