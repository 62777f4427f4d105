#pragma once

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include <cxxtools/connectable.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/timer.h>

#include "Gateway/Effect.h"
#include "Shell/FramedConnection.h"
#include "Shell/GatewaySink.h"

namespace camphorstep {

/// Exchanges messages with other gateway hosts: answers those that ask, and
/// asks one at a time.
class GatewayPeers : public cxxtools::Connectable
{
public:
  GatewayPeers(cxxtools::SelectorBase& aLoop,
               GatewaySink& aSink,
               const Address& aAddress);

  void Carry(const gateway::SendPeerQuery& aEffect);
  void Carry(const gateway::SendPeerReport& aEffect);
  void Carry(const gateway::SendRateLimitQuery& aEffect);
  void Carry(const gateway::SendRateLimitReport& aEffect);

private:
  void OnPending(cxxtools::net::TcpServer& aListener);
  void OnCollect();
  void HandleQuery(gateway::PeerLinkId aLink, const std::string& aPayload);
  void HandleReport(const std::string& aPayload);
  void RemoveIncoming(gateway::PeerLinkId aLink);
  void OpenOutgoing(const Address& aAddress);
  void CloseOutgoing();
  /// Closes the outgoing connection and tells the core.
  void LoseOutgoing();
  void Retire(std::unique_ptr<FramedConnection> aConnection);

  cxxtools::SelectorBase& mLoop;
  GatewaySink& mSink;
  cxxtools::net::TcpServer mListener;
  cxxtools::Timer mCollector;
  std::uint64_t mLastIncoming = 0;
  std::unordered_map<gateway::PeerLinkId, std::unique_ptr<FramedConnection>>
    mIncoming;
  std::unique_ptr<FramedConnection> mOutgoing;
  Address mOutgoingAddress;
  std::vector<std::unique_ptr<FramedConnection>> mRetired;
};

}
