#include "Shell/GatewayPeers.h"

#include <exception>
#include <type_traits>
#include <utility>

#include "Common/Log.h"
#include "Shell/Clock.h"
#include "Shell/RelayLimits.h"
#include "Wire/Codec.h"

namespace camphorstep {

namespace {

constexpr int kBacklog = 128;
/// What a connection takes before it holds anything.
constexpr std::size_t kConnectionBytes = 8 * 1024;
/// The bytes that the system receives ahead on an incoming connection, where
/// the memory is limited; it may take twice as many.
constexpr int kReceiveBuffer = 16 * 1024;
/// A host that asks on while it has this much to read is given up. Hosts wait
/// for each report.
constexpr std::size_t kMaxUnreadBytes = 256 * 1024;
constexpr Duration kLogInterval{ 1'000'000 };
/// How long closed connections may wait to be freed.
constexpr double kCollectMilliseconds = 50.0;

/// Whether a part of the peers' connections carries an effect out.
template<typename Carrier, typename Body>
concept Carries = requires(Carrier& aCarrier, const Body& aBody)
{
  aCarrier.Carry(aBody);
};

}

GatewayPeers::GatewayPeers(cxxtools::SelectorBase& aLoop,
                           GatewaySink& aSink,
                           const Address& aAddress,
                           const ProcessLimits& aLimits)
  : mLoop(aLoop)
  , mSink(aSink)
  , mListener(aAddress.mIp, aAddress.mPort, kBacklog)
  , mMaxIncoming(aLimits.mPeers)
  , mRelayLinks(aLoop, aSink)
  , mRelayIntake(
      aSink,
      [this](gateway::PeerLinkId aLink, const std::string& aPayload) {
        SendRelayed(aLink, aPayload);
      })
{
  mBudget.mLimit = aLimits.mPeerBytes;
  cxxtools::connect(
    mListener.connectionPending, *this, &GatewayPeers::OnPending);
  mListener.setSelector(mLoop);
  mCollector.setSelector(mLoop);
  cxxtools::connect(mCollector.timeout, *this, &GatewayPeers::OnCollect);
}

void
GatewayPeers::Carry(const gateway::SendPeerQuery& aEffect)
{
  const bool isElsewhere = !(aEffect.mAddress == mOutgoingAddress);
  if (isElsewhere || aEffect.mOnNewConnection) {
    CloseOutgoing();
  }
  if (!mOutgoing) {
    OpenOutgoing(aEffect.mAddress);
  }
  if (mOutgoing) {
    mOutgoing->Send(Encode(gateway::PeerMessage(aEffect.mQuery)));
  }
}

void
GatewayPeers::Carry(const gateway::SendPeerReport& aEffect)
{
  const auto it = mIncoming.find(aEffect.mLink);
  if (it != mIncoming.end()) {
    it->second->Send(Encode(gateway::PeerMessage(aEffect.mReport)));
  }
}

bool
GatewayPeers::CarryRelayed(const gateway::Effect& aEffect)
{
  return std::visit(
    [this](const auto& aBody) {
      using Body = std::decay_t<decltype(aBody)>;
      if constexpr (Carries<RelayLinks, Body>) {
        mRelayLinks.Carry(aBody);
        return true;
      } else if constexpr (Carries<RelayIntake, Body>) {
        if (RelayIntake::Owns(aBody.mSession)) {
          mRelayIntake.Carry(aBody);
          return true;
        }
      }
      return false;
    },
    aEffect);
}

void
GatewayPeers::Carry(const gateway::SendRateLimitQuery& aEffect)
{
  if (mOutgoing && aEffect.mAddress == mOutgoingAddress) {
    mOutgoing->Send(Encode(gateway::PeerMessage(aEffect.mQuery)));
  }
}

void
GatewayPeers::Carry(const gateway::SendRateLimitReport& aEffect)
{
  const auto it = mIncoming.find(aEffect.mLink);
  if (it != mIncoming.end()) {
    it->second->Send(Encode(gateway::PeerMessage(aEffect.mReport)));
  }
}

void
GatewayPeers::OnPending(cxxtools::net::TcpServer& aListener)
{
  const gateway::PeerLinkId id{ ++mLastIncoming };
  FramedConnection::Handlers handlers;
  handlers.mOnConnected = [] {};
  handlers.mOnFrame = [this, id](const std::string& aPayload) {
    HandleIncoming(id, aPayload);
  };
  handlers.mOnPartialFrame = [this, id] { NoteIncoming(id); };
  handlers.mOnClosed = [this, id] { RemoveIncoming(id); };
  auto connection = std::make_unique<FramedConnection>(
    std::move(handlers), FramedConnection::kSmallReads);
  try {
    connection->Accept(mLoop, aListener);
  } catch (const std::exception& ex) {
    WriteLog(LogLevel::Warning,
             "could not accept a host's connection",
             { { "error", ex.what() } });
    return;
  }
  if (mIncoming.size() >= mMaxIncoming && !CloseOldestSilent()) {
    connection->Close();
    return;
  }
  if (mBudget.mLimit > 0) {
    connection->LimitReceiveBuffer(kReceiveBuffer);
  }
  mIncoming.emplace(id, std::move(connection));
  mSilent.insert(id);
  NoteIncoming(id);
}

void
GatewayPeers::OnCollect()
{
  mRetired.clear();
}

void
GatewayPeers::HandleMessage(gateway::PeerLinkId aLink,
                            const std::string& aPayload)
{
  const auto message = Decode<gateway::PeerMessage>(aPayload);
  mSilent.erase(aLink);
  NoteIncoming(aLink);
  if (DropUnread(aLink)) {
    return;
  }
  if (const auto* const query = std::get_if<gateway::PeerQuery>(&message)) {
    mSink.Deliver(gateway::PeerQueryReceived{ aLink, *query });
  } else if (const auto* const limitQuery =
               std::get_if<gateway::RateLimitQuery>(&message)) {
    mSink.Deliver(gateway::RateLimitQueryReceived{ aLink, *limitQuery });
  } else if (const auto* const greeting =
               std::get_if<gateway::RelayGreeting>(&message)) {
    HandleGreeting(aLink, *greeting);
  }
}

void
GatewayPeers::HandleIncoming(gateway::PeerLinkId aLink,
                             const std::string& aPayload)
{
  try {
    if (mRelayIntake.HasLink(aLink)) {
      mRelayIntake.HandleRequest(aLink, aPayload);
    } else {
      HandleMessage(aLink, aPayload);
    }
  } catch (const DecodeError& ex) {
    WriteLog(LogLevel::Warning,
             "host sent a malformed message; closing the connection",
             { { "error", ex.what() } });
    RemoveIncoming(aLink);
  }
}

void
GatewayPeers::HandleGreeting(gateway::PeerLinkId aLink,
                             const gateway::RelayGreeting& aGreeting)
{
  const auto it = mIncoming.find(aLink);
  if (it == mIncoming.end()) {
    return;
  }
  if (aGreeting.mVersion != gateway::kRelayVersion) {
    RemoveIncoming(aLink);
    return;
  }
  it->second->LimitSilence(kRelaySilenceLimit);
  mRelayIntake.AddLink(aLink);
}

void
GatewayPeers::SendRelayed(gateway::PeerLinkId aLink,
                          const std::string& aPayload)
{
  const auto it = mIncoming.find(aLink);
  if (it == mIncoming.end()) {
    return;
  }
  if (it->second->UnsentBytes() > kMaxUnsentRelayBytes) {
    WriteLog(LogLevel::Warning,
             "host does not read the answers to sessions that it passes on; "
             "closing the connection");
    RemoveIncoming(aLink);
    return;
  }
  it->second->Send(aPayload);
}

void
GatewayPeers::HandleReport(const std::string& aPayload)
{
  try {
    const auto message = Decode<gateway::PeerMessage>(aPayload);
    if (const auto* const report = std::get_if<gateway::PeerReport>(&message)) {
      mSink.Deliver(*report);
    } else if (const auto* const limitReport =
                 std::get_if<gateway::RateLimitReport>(&message)) {
      mSink.Deliver(gateway::RateLimitReportReceived{ *limitReport });
    }
  } catch (const DecodeError& ex) {
    WriteLog(LogLevel::Warning,
             "host sent a malformed report; closing the connection",
             { { "error", ex.what() } });
    LoseOutgoing();
  }
}

void
GatewayPeers::RemoveIncoming(gateway::PeerLinkId aLink)
{
  const auto it = mIncoming.find(aLink);
  if (it != mIncoming.end()) {
    Retire(std::move(it->second));
    mIncoming.erase(it);
    mRelayIntake.RemoveLink(aLink);
  }
  mSilent.erase(aLink);
  SetHeld(mBudget, aLink.mValue, 0);
}

bool
GatewayPeers::CloseOldestSilent()
{
  if (mSilent.empty()) {
    return false;
  }
  const gateway::PeerLinkId oldest = *mSilent.begin();
  mIncoming.at(oldest)->Abort();
  RemoveIncoming(oldest);
  return true;
}

void
GatewayPeers::NoteIncoming(gateway::PeerLinkId aLink)
{
  const auto it = mIncoming.find(aLink);
  if (it == mIncoming.end()) {
    return;
  }
  SetHeld(mBudget, aLink.mValue, kConnectionBytes + it->second->HeldBytes());
  while (IsOverdrawn(mBudget)) {
    const gateway::PeerLinkId largest{ *LargestHolder(mBudget) };
    ++mClosedForMemory;
    mIncoming.at(largest)->Abort();
    RemoveIncoming(largest);
  }
  const Instant now = MonotonicNow();
  if (mClosedForMemory > 0 && now >= mLogAfter) {
    WriteLog(LogLevel::Warning,
             "closed connections of hosts that held too much",
             { { "connections", std::exchange(mClosedForMemory, 0) } });
    mLogAfter = now + kLogInterval;
  }
}

bool
GatewayPeers::DropUnread(gateway::PeerLinkId aLink)
{
  const auto it = mIncoming.find(aLink);
  if (it == mIncoming.end()) {
    return true;
  }
  if (it->second->UnsentBytes() <= kMaxUnreadBytes) {
    return false;
  }
  it->second->Abort();
  RemoveIncoming(aLink);
  return true;
}

void
GatewayPeers::OpenOutgoing(const Address& aAddress)
{
  FramedConnection::Handlers handlers;
  handlers.mOnConnected = [] {};
  handlers.mOnFrame = [this](const std::string& aPayload) {
    HandleReport(aPayload);
  };
  handlers.mOnPartialFrame = [this] {
    mSink.Deliver(gateway::PeerReportArriving{});
  };
  handlers.mOnClosed = [this] { LoseOutgoing(); };
  mOutgoingAddress = aAddress;
  mOutgoing = std::make_unique<FramedConnection>(std::move(handlers));
  mOutgoing->Connect(mLoop, aAddress);
}

void
GatewayPeers::CloseOutgoing()
{
  if (!mOutgoing) {
    return;
  }
  if (mOutgoing->PendingBytes() > 0) {
    WriteLog(
      LogLevel::Info,
      "closing a connection to a host before its report was complete",
      { { "address", mOutgoingAddress.mIp },
        { "received_bytes", std::to_string(mOutgoing->PendingBytes()) } });
  }
  Retire(std::move(mOutgoing));
}

void
GatewayPeers::LoseOutgoing()
{
  CloseOutgoing();
  mSink.Deliver(gateway::PeerConnectionLost{});
}

void
GatewayPeers::Retire(std::unique_ptr<FramedConnection> aConnection)
{
  aConnection->Close();
  mRetired.push_back(std::move(aConnection));
  mCollector.after(cxxtools::Milliseconds(kCollectMilliseconds));
}

}
