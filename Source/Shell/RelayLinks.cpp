#include "Shell/RelayLinks.h"

#include <iterator>
#include <utility>

#include "Common/Log.h"
#include "Shell/RelayLimits.h"
#include "Wire/Codec.h"

namespace camphorstep {

namespace {

/// How long closed connections may wait to be freed.
constexpr double kCollectMilliseconds = 50.0;

}

RelayLinks::RelayLinks(cxxtools::SelectorBase& aLoop, GatewaySink& aSink)
  : mLoop(aLoop)
  , mSink(aSink)
{
  mCollector.setSelector(mLoop);
  cxxtools::connect(mCollector.timeout, *this, &RelayLinks::OnCollect);
}

void
RelayLinks::Carry(const gateway::OpenRelay& aEffect)
{
  const auto it = mLinks.find(aEffect.mHost);
  if (it != mLinks.end() && !(it->second.mAddress == aEffect.mAddress)) {
    // The host has moved; the sessions at its former address are lost.
    Lose(aEffect.mHost);
  }
  if (FindConnection(aEffect.mHost) == nullptr) {
    Open(aEffect.mHost, aEffect.mAddress);
  }
  if (FramedConnection* const connection = FindConnection(aEffect.mHost)) {
    connection->Send(Encode(gateway::RelayRequest{
      aEffect.mRelay,
      gateway::RelayOpening{ aEffect.mDatabase, aEffect.mKey } }));
  }
}

void
RelayLinks::Carry(const gateway::SendOnRelay& aEffect)
{
  FramedConnection* const connection = FindConnection(aEffect.mHost);
  if (connection == nullptr) {
    // The core is about to learn that the connection was lost.
    return;
  }
  if (connection->UnsentBytes() > kMaxUnsentRelayBytes) {
    mSink.Deliver(gateway::RelayStatementUnsent{ aEffect.mRelay });
    return;
  }
  connection->Send(
    Encode(gateway::RelayRequest{ aEffect.mRelay, aEffect.mStatement }));
}

void
RelayLinks::Carry(const gateway::EndRelay& aEffect)
{
  if (FramedConnection* const connection = FindConnection(aEffect.mHost)) {
    mLinks.at(aEffect.mHost).mRows.erase(aEffect.mRelay);
    connection->Send(
      Encode(gateway::RelayRequest{ aEffect.mRelay, gateway::RelayEnd{} }));
  }
}

FramedConnection*
RelayLinks::FindConnection(const std::string& aHost)
{
  const auto it = mLinks.find(aHost);
  return it == mLinks.end() ? nullptr : it->second.mConnection.get();
}

void
RelayLinks::Open(const std::string& aHost, const Address& aAddress)
{
  FramedConnection::Handlers handlers;
  handlers.mOnConnected = [] {};
  handlers.mOnFrame = [this, aHost](const std::string& aPayload) {
    HandleFrame(aHost, aPayload);
  };
  handlers.mOnClosed = [this, aHost] { Lose(aHost); };
  Link& link = mLinks[aHost];
  link.mAddress = aAddress;
  link.mConnection = std::make_unique<FramedConnection>(std::move(handlers));
  FramedConnection& connection = *link.mConnection;
  connection.LimitSilence(kRelaySilenceLimit);
  connection.Send(Encode(gateway::PeerMessage(gateway::RelayGreeting{})));
  connection.Connect(mLoop, aAddress);
}

void
RelayLinks::HandleFrame(const std::string& aHost, const std::string& aPayload)
{
  const auto it = mLinks.find(aHost);
  if (it == mLinks.end()) {
    return;
  }
  try {
    HandleResponse(it->second, Decode<gateway::RelayResponse>(aPayload));
  } catch (const DecodeError& ex) {
    WriteLog(LogLevel::Warning,
             "owner sent a malformed message; closing the connection",
             { { "host", aHost }, { "error", ex.what() } });
    Lose(aHost);
  }
}

void
RelayLinks::HandleResponse(Link& aLink, gateway::RelayResponse aResponse)
{
  if (auto* const rows = std::get_if<gateway::RelayRows>(&aResponse.mBody)) {
    auto& all = aLink.mRows[aResponse.mRelay];
    all.insert(all.end(),
               std::make_move_iterator(rows->mRows.begin()),
               std::make_move_iterator(rows->mRows.end()));
    return;
  }
  const auto it = aLink.mRows.find(aResponse.mRelay);
  if (it != aLink.mRows.end()) {
    auto* const answer = std::get_if<gateway::AnswerCaller>(&aResponse.mBody);
    if (answer != nullptr) {
      it->second.insert(it->second.end(),
                        std::make_move_iterator(answer->mRows.begin()),
                        std::make_move_iterator(answer->mRows.end()));
      answer->mRows = std::move(it->second);
    }
    aLink.mRows.erase(it);
  }
  mSink.Deliver(std::move(aResponse));
}

void
RelayLinks::Lose(const std::string& aHost)
{
  const auto it = mLinks.find(aHost);
  if (it == mLinks.end()) {
    return;
  }
  it->second.mConnection->Close();
  mRetired.push_back(std::move(it->second.mConnection));
  mLinks.erase(it);
  mCollector.after(cxxtools::Milliseconds(kCollectMilliseconds));
  mSink.Deliver(gateway::RelayConnectionLost{ aHost });
}

void
RelayLinks::OnCollect()
{
  mRetired.clear();
}

}
