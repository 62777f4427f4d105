#pragma once

#include "Common/StrongId.h"
#include "Model/Ids.h"

namespace camphorstep::gateway {

/// A caller's connection, unique within the process.
using SessionId = StrongId<struct SessionTag>;

/// A connection to a backend server, unique within the process.
using LinkId = StrongId<struct LinkTag>;

/// A session that one host passes on to another, unique within the host that
/// does; a new one each time the session is opened elsewhere.
using RelayId = StrongId<struct RelayTag>;

/// One call to the platform, unique within the process.
using CallId = StrongId<struct PlatformCallTag>;

/// A replicated group of backend servers, by the hash of its name.
using GroupId = StrongId<struct GroupTag>;

}
