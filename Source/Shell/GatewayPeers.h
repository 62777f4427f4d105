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
#include "Shell/RelayIntake.h"
#include "Shell/RelayLinks.h"

namespace camphorstep {

/// Exchanges messages with other gateway hosts: answers those that ask, asks
/// one at a time, and passes sessions on and takes them over.
class GatewayPeers : public cxxtools::Connectable
{
public:
  GatewayPeers(cxxtools::SelectorBase& aLoop,
               GatewaySink& aSink,
               const Address& aAddress);

  void Carry(const gateway::SendPeerQuery& aEffect);
  void Carry(const gateway::SendPeerReport& aEffect);

  /// Carries an effect out if it concerns a session that is passed on from or
  /// to this host. Returns whether it does.
  bool CarryRelayed(const gateway::Effect& aEffect);

private:
  void OnPending(cxxtools::net::TcpServer& aListener);
  void OnCollect();
  void HandleIncoming(gateway::PeerLinkId aLink, const std::string& aPayload);
  void HandleMessage(gateway::PeerLinkId aLink, const std::string& aPayload);
  void HandleReport(const std::string& aPayload);
  void HandleGreeting(gateway::PeerLinkId aLink,
                      const gateway::RelayGreeting& aGreeting);
  void SendRelayed(gateway::PeerLinkId aLink, const std::string& aPayload);
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
  RelayLinks mRelayLinks;
  RelayIntake mRelayIntake;
};

}
