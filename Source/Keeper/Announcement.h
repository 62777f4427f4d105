#pragma once

#include "Messages/PeerMessage.h"
#include "Messages/ServerMessage.h"
#include "Model/Ids.h"

namespace camphorstep {

struct Context;

/// Notifies all connected hosts of a new primary, so that waiting requests
/// continue at once.
void AnnouncePrimary(Context& aContext,
                     ServerId aServer,
                     const ServerReply& aReply);

/// Handles another host's notice of a new primary. A notice with a lower term
/// than the known view of the server is ignored.
void HandlePrimaryNotice(Context& aContext, const PrimaryNotice& aNotice);

}
