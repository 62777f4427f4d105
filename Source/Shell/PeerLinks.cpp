#include "Shell/PeerLinks.h"

#include <utility>

#include "Common/Log.h"
#include "Shell/Clock.h"
#include "Wire/Codec.h"
#include "Wire/PeerFrame.h"

namespace camphorstep {

namespace {

constexpr Duration kReconnectDelay = std::chrono::milliseconds(200);
constexpr int kListenBacklog = 128;

}

PeerLinks::PeerLinks(cxxtools::SelectorBase& aLoop,
                     EventSink& aSink,
                     HostId aSelf,
                     const MacKey& aKey)
  : mLoop(aLoop)
  , mSink(aSink)
  , mSelf(aSelf)
  , mKey(aKey)
{
}

void
PeerLinks::Listen(const Address& aAddress)
{
  mListener.listen(aAddress.mIp, aAddress.mPort, kListenBacklog);
  mListener.setSelector(mLoop);
  cxxtools::connect(
    mListener.connectionPending, *this, &PeerLinks::OnConnectionPending);
}

void
PeerLinks::AddPeer(const Host& aHost)
{
  mOutgoing[aHost.mId].mHost = aHost;
}

void
PeerLinks::Send(HostId aHost, const PeerMessage& aMessage)
{
  const auto it = mOutgoing.find(aHost);
  if (it == mOutgoing.end() || it->second.mChallenge == 0) {
    return;
  }
  OutgoingLink& link = it->second;
  PeerEnvelope envelope;
  envelope.mFrom = mSelf;
  envelope.mTo = aHost;
  envelope.mChallenge = link.mChallenge;
  envelope.mCount = ++link.mCount;
  envelope.mMessage = aMessage;
  const std::string frame = SealPeerFrame(mKey, envelope);
  link.mBytesSent += frame.size();
  link.mConnection->Send(frame);
}

void
PeerLinks::Maintain(Instant aNow)
{
  mClosed.clear();
  for (auto& [id, link] : mOutgoing) {
    if (!link.mConnection && aNow - link.mLastAttempt >= kReconnectDelay) {
      link.mLastAttempt = aNow;
      Open(link);
    }
  }
}

PeerTraffic
PeerLinks::TrafficFrom(const Place& aPlace) const
{
  PeerTraffic traffic;
  for (const auto& [id, link] : mOutgoing) {
    switch (ProximityOf(aPlace, link.mHost.mPlace)) {
      case Proximity::SameDataCentre:
        traffic.mSameDataCentre += link.mBytesSent;
        break;
      case Proximity::SameRegion:
        traffic.mSameRegion += link.mBytesSent;
        break;
      case Proximity::OtherRegion:
        traffic.mOtherRegion += link.mBytesSent;
        break;
    }
  }
  return traffic;
}

void
PeerLinks::Open(OutgoingLink& aLink)
{
  const HostId host = aLink.mHost.mId;
  FramedConnection::Handlers handlers;
  handlers.mOnConnected = [] {};
  handlers.mOnFrame = [this, host](const std::string& aPayload) {
    HandleChallenge(host, aPayload);
  };
  handlers.mOnClosed = [this, host] { HandleLinkClosed(host); };
  aLink.mChallenge = 0;
  aLink.mCount = 0;
  aLink.mConnection = std::make_unique<FramedConnection>(std::move(handlers));
  aLink.mConnection->Connect(mLoop, aLink.mHost.mPeerAddress);
}

void
PeerLinks::HandleChallenge(HostId aHost, const std::string& aPayload)
{
  OutgoingLink& link = mOutgoing.at(aHost);
  if (link.mChallenge != 0) {
    return;
  }
  try {
    link.mChallenge = Decode<std::uint64_t>(aPayload);
  } catch (const DecodeError&) {
    link.mConnection->Close();
    HandleLinkClosed(aHost);
    return;
  }
  mSink.Post(PeerConnected{ aHost });
}

void
PeerLinks::HandleLinkClosed(HostId aHost)
{
  OutgoingLink& link = mOutgoing.at(aHost);
  const bool wasUp = link.mChallenge != 0;
  link.mChallenge = 0;
  mClosed.push_back(std::move(link.mConnection));
  if (wasUp) {
    mSink.Post(PeerDisconnected{ aHost });
  }
}

void
PeerLinks::OnConnectionPending(cxxtools::net::TcpServer& aListener)
{
  const std::uint64_t id = ++mLastIncoming;
  FramedConnection::Handlers handlers;
  handlers.mOnConnected = [] {};
  handlers.mOnFrame = [this, id](const std::string& aPayload) {
    HandleFrame(id, aPayload);
  };
  handlers.mOnClosed = [this, id] { RemoveIncoming(id); };
  IncomingLink link;
  link.mConnection = std::make_unique<FramedConnection>(std::move(handlers));
  link.mChallenge = RandomBits() | 1U; // zero means "none"
  FramedConnection& connection = *link.mConnection;
  const std::string challenge = Encode(link.mChallenge);
  mIncoming.emplace(id, std::move(link));
  try {
    connection.Accept(mLoop, aListener);
    connection.Send(challenge);
  } catch (const std::exception& ex) {
    WriteLog(LogLevel::Warning,
             "could not accept a peer's connection",
             { { "error", ex.what() } });
    RemoveIncoming(id);
  }
}

void
PeerLinks::HandleFrame(std::uint64_t aLink, const std::string& aPayload)
{
  IncomingLink& link = mIncoming.at(aLink);
  try {
    PeerEnvelope envelope = OpenPeerFrame(mKey, aPayload);
    if (envelope.mTo != mSelf || envelope.mChallenge != link.mChallenge ||
        envelope.mCount != link.mCount + 1) {
      throw DecodeError("frame belongs to another connection or place");
    }
    ++link.mCount;
    mSink.Deliver(
      PeerMessageReceived{ envelope.mFrom, std::move(envelope.mMessage) });
  } catch (const DecodeError& ex) {
    WriteLog(LogLevel::Warning,
             "refused a frame from a peer; closing the connection",
             { { "error", ex.what() } });
    link.mConnection->Close();
    RemoveIncoming(aLink);
  }
}

void
PeerLinks::RemoveIncoming(std::uint64_t aLink)
{
  const auto it = mIncoming.find(aLink);
  if (it != mIncoming.end()) {
    mClosed.push_back(std::move(it->second.mConnection));
    mIncoming.erase(it);
  }
}

}
