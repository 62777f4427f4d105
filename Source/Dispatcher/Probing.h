#pragma once

#include "Dispatcher/DispatcherState.h"
#include "Messages/PeerMessage.h"
#include "Messages/ServerMessage.h"
#include "Model/Ids.h"

namespace camphorstep {

struct Context;

/// Stores the server state that a reply reports, unless the stored sample was
/// requested later.
void UpdateSample(ServerDispatch& aDispatch,
                  ServerId aServer,
                  const ServerReply& aReply,
                  Instant aRequestedAt);

/// Sends a status probe on the control connection if one is due.
void Probe(Context& aContext, ServerDispatch& aDispatch);

/// Handles the reply to a Hello or Status. Closes the connection on failure.
void HandleProbeReply(Context& aContext,
                      ServerDispatch& aDispatch,
                      ConnectionId aId,
                      const ServerReply& aReply);

/// Replies with the latest sample of a server, if there is one.
void HandleViewRequest(Context& aContext,
                       HostId aFrom,
                       const ViewRequest& aRequest);

}
