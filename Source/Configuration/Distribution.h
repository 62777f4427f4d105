#pragma once

#include "Messages/PeerMessage.h"
#include "Messages/StoreMessage.h"

namespace camphorstep {

struct Context;

// Distribution of configuration versions to all hosts. The relays of a data
// centre poll the head row of the store. Hosts report their version in
// heartbeats, and a host with an older version requests the newer one.

/// Polls the store and requests a newer configuration from peers, if due.
void TickConfiguration(Context& aContext);

/// Handles the answer to a read of the head row.
void HandleVersionPolled(Context& aContext,
                         StoreStatus aStatus,
                         const std::vector<StoreRow>& aRows);

/// Handles the answer to a read of a record.
void HandleVersionFetched(Context& aContext,
                          StoreStatus aStatus,
                          const std::vector<StoreRow>& aRows);

void HandleConfigurationRequest(Context& aContext, HostId aFrom);

void HandleConfigurationReply(Context& aContext,
                              const ConfigurationReply& aMessage);

/// Requests the newest configuration if a peer's heartbeat reported a higher
/// version than the one in force here.
void NotePeerVersion(Context& aContext, HostId aFrom);

}
