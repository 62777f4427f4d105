#pragma once

#include <vector>

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// The servers that are silent to this host or to hosts that ask it, and to
/// how many.
std::vector<SilentServer> SilentServers(const Context& aContext);

/// Notes the servers that are silent to a host that asks this one.
void NoteSilentServers(Context& aContext, const PeerQuery& aQuery);

/// Whether at least half of the hosts have lately found a server silent.
bool IsSilentToMany(const Context& aContext, ServerId aServer);

}
