#pragma once

#include "Gateway/Context.h"
#include "Gateway/Event.h"

namespace camphorstep::gateway {

/// Asks the host that holds the promoter's lease for the servers' statuses,
/// so that not every host has to ask every server.
void AskPromoter(Context& aContext);

void HandlePeerAsked(Context& aContext, const PeerAsked& aEvent);

void HandlePeerReported(Context& aContext, const StatusReport& aReport);

/// Whether the host that holds the promoter's lease has answered lately.
bool HearsPromoter(const Context& aContext);

/// Whether half of the hosts have lately found a server silent.
bool IsSilentToMany(const Context& aContext, ServerId aServer);

}
