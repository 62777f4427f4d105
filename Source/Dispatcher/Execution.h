#pragma once

#include "Dispatcher/DispatcherState.h"
#include "Messages/PeerMessage.h"
#include "Messages/ServerMessage.h"
#include "Model/Ids.h"
#include "Model/ResultCode.h"

namespace camphorstep {

struct Context;

/// Starts waiting requests while slots and connections are free.
void StartQueuedRequests(Context& aContext,
                         ServerId aServer,
                         ServerDispatch& aDispatch);

/// Queues the next request of an open transaction for the transaction's
/// connection. Refuses it if the transaction is unknown or already has a
/// request.
void ExecuteInTransaction(Context& aContext,
                          ServerDispatch& aDispatch,
                          const QueuedRequest& aQueued);

/// Fails the active request, if any, of a connection that is lost or about to
/// be closed. Its outcome is unknown.
void FailActive(Context& aContext,
                ServerDispatch& aDispatch,
                ServerConnection& aConnection,
                ResultCode aCode);

/// Handles the server's reply to a statement and answers the request.
void HandleStatementReply(Context& aContext,
                          ServerDispatch& aDispatch,
                          ConnectionId aId,
                          const ServerReply& aReply);

}
