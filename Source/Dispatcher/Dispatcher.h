#pragma once

#include "Messages/PeerMessage.h"
#include "Messages/ServerMessage.h"
#include "Model/Ids.h"

namespace camphorstep {

struct Context;
struct DispatcherState;

/// Queues a request for a backend server, or refuses it.
void HandleForwardRequest(Context& aContext,
                          HostId aFrom,
                          const ForwardRequest& aRequest);

/// Removes a cancelled request. If it is running or has opened a transaction,
/// its connection is closed, since the answer is no longer needed.
void HandleCancelRequest(Context& aContext, const CancelRequest& aMessage);

void HandleServerConnected(Context& aContext, ConnectionId aConnection);

void HandleServerDisconnected(Context& aContext, ConnectionId aConnection);

/// Handles a server's reply to a statement or probe. Other replies are counted
/// as late and ignored.
void HandleServerReply(Context& aContext,
                       ConnectionId aConnection,
                       const ServerReply& aReply);

/// Whether no request waits or runs and no transaction is open.
bool IsDispatcherIdle(const DispatcherState& aDispatcher);

/// Starts waiting requests, such as those whose start was delayed.
void StartAllQueuedRequests(Context& aContext);

/// Refuses the waiting requests that need the primary, for a server that is no
/// longer the primary.
void RefuseQueuedForPrimary(Context& aContext, ServerId aServer);

/// Fails the requests in flight that need the primary, for a server that is no
/// longer the primary, and closes their connections and those of transactions.
void FailPrimaryRequests(Context& aContext, ServerId aServer);

/// Enforces deadlines, probes servers in use, maintains the connection pools
/// and starts waiting requests.
void TickDispatcher(Context& aContext);

}
