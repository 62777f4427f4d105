#pragma once

#include "Keeper/KeeperState.h"
#include "Messages/ServerMessage.h"
#include "Model/Ids.h"

namespace camphorstep {

struct Context;

/// Returns the group of a database. A new group is created with its primary
/// counted as active now.
Group& GroupOf(Context& aContext, DatabaseId aDatabase);

/// Opens a connection of the keeper to a server.
ConnectionId OpenLink(Context& aContext,
                      ServerId aServer,
                      LinkPurpose aPurpose);

/// Closes a connection of the keeper, if it is still open.
void CloseLink(Context& aContext, ConnectionId aLink);

/// Whether a link's Hello has been answered and no request is in progress.
bool IsLinkReady(const Context& aContext, ConnectionId aLink);

/// Whether the opening of a link, or the request in progress on it, has taken
/// longer than a limit.
bool IsLinkOverdue(const Context& aContext,
                   ConnectionId aLink,
                   Duration aLimit);

/// Sends a request on a link that has no request in progress.
void SendRequest(Context& aContext, ConnectionId aLink, ServerRequest aRequest);

}
