#pragma once

#include <optional>

#include "Dispatcher/DispatcherState.h"
#include "Model/Ids.h"

namespace camphorstep {

struct Context;

/// Opens connections as the queue requires, a few at a time. The pool is
/// limited to less than half of the server's connections, so that two
/// dispatchers fit.
void GrowPool(Context& aContext, ServerId aServer, ServerDispatch& aDispatch);

/// Keeps a minimum of connections open while the server is in use and closes
/// surplus connections that have been idle for long. Closes all idle
/// connections once the server is unused.
void MaintainPoolSize(Context& aContext,
                      ServerId aServer,
                      ServerDispatch& aDispatch);

/// Records that a connection could not be opened and delays the next opening.
void NoteFailedOpening(const Context& aContext, ServerDispatch& aDispatch);

/// Opens the connection that carries status probes, if it is missing.
void EnsureControlConnection(Context& aContext,
                             ServerId aServer,
                             ServerDispatch& aDispatch);

/// Returns the most recently used idle connection for statements, so that
/// surplus connections stay idle and are closed.
std::optional<ConnectionId> FindIdle(const ServerDispatch& aDispatch);

/// Closes a connection and removes it. Any active request must have been
/// answered or abandoned before, and the count of running statements adjusted.
void DropConnection(Context& aContext,
                    ServerDispatch& aDispatch,
                    ConnectionId aConnection);

/// Removes a connection without closing it, with its transaction, for example
/// after the server or the network has closed it.
void RemoveConnection(Context& aContext,
                      ServerDispatch& aDispatch,
                      ConnectionId aConnection);

/// Sends Hello, the first request on a new connection.
void SendHello(Context& aContext,
               ConnectionId aId,
               ServerConnection& aConnection);

/// Moves a connection to a phase and records the time.
void EnterPhase(const Context& aContext,
                ServerConnection& aConnection,
                ConnectionPhase aPhase);

}
