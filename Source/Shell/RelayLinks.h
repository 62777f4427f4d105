#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <cxxtools/connectable.h>
#include <cxxtools/selector.h>
#include <cxxtools/timer.h>

#include "Gateway/Effect.h"
#include "Gateway/RelayMessage.h"
#include "Shell/FramedConnection.h"
#include "Shell/GatewaySink.h"

namespace camphorstep {

/// The connections over which this host passes sessions on, one to each owner.
class RelayLinks : public cxxtools::Connectable
{
public:
  RelayLinks(cxxtools::SelectorBase& aLoop, GatewaySink& aSink);

  void Carry(const gateway::OpenRelay& aEffect);
  void Carry(const gateway::SendOnRelay& aEffect);
  void Carry(const gateway::EndRelay& aEffect);

private:
  struct Link
  {
    std::unique_ptr<FramedConnection> mConnection;
    Address mAddress;
    /// The rows of answers whose end has not come yet.
    std::unordered_map<gateway::RelayId, std::vector<std::string>> mRows;
  };

  FramedConnection* FindConnection(const std::string& aHost);
  void Open(const std::string& aHost, const Address& aAddress);
  void HandleFrame(const std::string& aHost, const std::string& aPayload);
  void HandleResponse(Link& aLink, gateway::RelayResponse aResponse);
  /// Closes the connection to an owner and tells the core.
  void Lose(const std::string& aHost);
  void OnCollect();

  cxxtools::SelectorBase& mLoop;
  GatewaySink& mSink;
  cxxtools::Timer mCollector;
  std::unordered_map<std::string, Link> mLinks;
  /// Closed connections, kept until none of their handlers is running.
  std::vector<std::unique_ptr<FramedConnection>> mRetired;
};

}
