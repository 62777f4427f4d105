#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include <cxxtools/selector.h>

#include "Messages/Effect.h"
#include "Model/Topology.h"
#include "Shell/EventSink.h"
#include "Shell/FramedConnection.h"

namespace camphorstep {

/// The connections to backend servers.
class ServerLinks
{
public:
  ServerLinks(cxxtools::SelectorBase& aLoop, EventSink& aSink);

  void Open(ConnectionId aConnection, const Address& aAddress);
  void Close(ConnectionId aConnection);
  void Send(ConnectionId aConnection, const ServerRequest& aRequest);

  /// Frees connections that have been closed; not from within a handler.
  void CollectClosed();

private:
  void HandleFrame(ConnectionId aConnection, const std::string& aPayload);
  void Remove(ConnectionId aConnection);

  cxxtools::SelectorBase& mLoop;
  EventSink& mSink;
  std::unordered_map<ConnectionId, std::unique_ptr<FramedConnection>>
    mConnections;
  std::vector<std::unique_ptr<FramedConnection>> mClosed;
};

}
