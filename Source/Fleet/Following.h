#pragma once

#include "Gateway/Context.h"
#include "Gateway/Event.h"

namespace camphorstep::gateway {

/// Asks the source for news, chooses another one if it is silent, or looks
/// for one.
void FollowSource(Context& aContext);

/// Gives the source time for the rest of a report of which a part has arrived.
void HandlePeerReportArriving(Context& aContext);

/// Takes the source's report and asks it again.
void HandlePeerReported(Context& aContext, const PeerReport& aReport);

/// The connection to the source ended or was refused.
void HandlePeerLost(Context& aContext);

}
