#pragma once

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include <cxxtools/connectable.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/timer.h>

#include "Budget/MemoryBudget.h"
#include "Budget/ProcessLimits.h"
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
               const Address& aAddress,
               const ProcessLimits& aLimits = {});

  void Carry(const gateway::SendPeerQuery& aEffect);
  void Carry(const gateway::SendPeerReport& aEffect);
  void Carry(const gateway::SendRateLimitQuery& aEffect);
  void Carry(const gateway::SendRateLimitReport& aEffect);

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
  /// Closes the oldest connection that has asked nothing yet. Returns false if
  /// there is none.
  bool CloseOldestSilent();
  /// Closes a connection that asks on without reading. Returns whether it is
  /// gone.
  bool DropUnread(gateway::PeerLinkId aLink);
  /// Notes what a connection holds, and closes those that hold the most if the
  /// connections hold too much together.
  void NoteIncoming(gateway::PeerLinkId aLink);
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
  /// Incoming connections that have asked nothing yet, the oldest first.
  std::set<gateway::PeerLinkId> mSilent;
  std::size_t mMaxIncoming;
  MemoryBudget mBudget;
  /// Connections that were closed since the last line about them.
  std::uint64_t mClosedForMemory = 0;
  Instant mLogAfter;
  std::unique_ptr<FramedConnection> mOutgoing;
  Address mOutgoingAddress;
  std::vector<std::unique_ptr<FramedConnection>> mRetired;
  RelayLinks mRelayLinks;
  RelayIntake mRelayIntake;
};

}
