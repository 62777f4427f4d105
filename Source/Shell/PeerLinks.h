#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include <cxxtools/connectable.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/selector.h>

#include "Common/Mac.h"
#include "Common/Time.h"
#include "Messages/PeerMessage.h"
#include "Model/Topology.h"
#include "Shell/EventSink.h"
#include "Shell/FramedConnection.h"
#include "Shell/StatusSnapshot.h"

namespace camphorstep {

/// The links between hosts. Each host opens one connection to every peer and
/// sends on it; what it receives comes on connections that its peers opened.
/// Every frame carries a MAC over its content, a random challenge that the
/// accepting side drew for the connection and a count, so that frames cannot
/// be forged, replayed, dropped from the middle or reordered.
class PeerLinks : public cxxtools::Connectable
{
public:
  PeerLinks(cxxtools::SelectorBase& aLoop,
            EventSink& aSink,
            HostId aSelf,
            const MacKey& aKey);

  /// Starts to accept connections of peers.
  void Listen(const Address& aAddress);

  /// Keeps a connection to a peer from now on.
  void AddPeer(const Host& aHost);

  /// Sends a message; it is lost if the link is down.
  void Send(HostId aHost, const PeerMessage& aMessage);

  /// Opens links that are missing and frees those that have been closed; not
  /// from within a handler.
  void Maintain(Instant aNow);

  /// Bytes sent so far, by how near the peers are to a place.
  PeerTraffic TrafficFrom(const Place& aPlace) const;

private:
  /// A link on which this host sends.
  struct OutgoingLink
  {
    Host mHost;
    std::unique_ptr<FramedConnection> mConnection;
    /// The peer's challenge; zero until it has arrived.
    std::uint64_t mChallenge = 0;
    std::uint64_t mCount = 0;
    std::uint64_t mBytesSent = 0;
    Instant mLastAttempt{};
  };

  /// A link on which a peer sends.
  struct IncomingLink
  {
    std::unique_ptr<FramedConnection> mConnection;
    std::uint64_t mChallenge = 0;
    std::uint64_t mCount = 0;
  };

  void Open(OutgoingLink& aLink);
  void HandleChallenge(HostId aHost, const std::string& aPayload);
  void HandleLinkClosed(HostId aHost);
  void OnConnectionPending(cxxtools::net::TcpServer& aListener);
  void HandleFrame(std::uint64_t aLink, const std::string& aPayload);
  void RemoveIncoming(std::uint64_t aLink);

  cxxtools::SelectorBase& mLoop;
  EventSink& mSink;
  HostId mSelf;
  MacKey mKey;
  cxxtools::net::TcpServer mListener;
  std::unordered_map<HostId, OutgoingLink> mOutgoing;
  std::unordered_map<std::uint64_t, IncomingLink> mIncoming;
  std::uint64_t mLastIncoming = 0;
  std::vector<std::unique_ptr<FramedConnection>> mClosed;
};

}
