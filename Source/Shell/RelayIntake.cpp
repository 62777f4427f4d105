#include "Shell/RelayIntake.h"

#include <numeric>
#include <utility>

#include "Common/Log.h"
#include "Shell/RelayLimits.h"
#include "Wire/Codec.h"

namespace camphorstep {

namespace {

/// Sessions of callers are counted from one and never get here.
constexpr std::uint64_t kFirstSession = std::uint64_t{ 1 } << 62U;

std::size_t
CountBytes(const std::vector<std::string>& aRows)
{
  return std::accumulate(aRows.begin(),
                         aRows.end(),
                         std::size_t{ 0 },
                         [](std::size_t aSum, const std::string& aRow) {
                           return aSum + aRow.size();
                         });
}

}

RelayIntake::RelayIntake(GatewaySink& aSink, Sender aSender)
  : mSink(aSink)
  , mSender(std::move(aSender))
  , mLastSession(kFirstSession)
{
}

bool
RelayIntake::Owns(gateway::SessionId aSession)
{
  return aSession.mValue >= kFirstSession;
}

void
RelayIntake::AddLink(gateway::PeerLinkId aLink)
{
  mLinks[aLink];
}

bool
RelayIntake::HasLink(gateway::PeerLinkId aLink) const
{
  return mLinks.contains(aLink);
}

void
RelayIntake::RemoveLink(gateway::PeerLinkId aLink)
{
  const auto it = mLinks.find(aLink);
  if (it == mLinks.end()) {
    return;
  }
  const auto sessions = std::move(it->second);
  mLinks.erase(it);
  for (const auto& [relay, session] : sessions) {
    mSessions.erase(session);
    mSink.Deliver(gateway::SessionEnded{ session });
  }
}

void
RelayIntake::HandleRequest(gateway::PeerLinkId aLink,
                           const std::string& aPayload)
{
  const auto request = Decode<gateway::RelayRequest>(aPayload);
  std::visit([&](const auto& aBody) { Handle(aLink, request.mRelay, aBody); },
             request.mBody);
}

void
RelayIntake::Handle(gateway::PeerLinkId aLink,
                    gateway::RelayId aRelay,
                    const gateway::RelayOpening& aOpening)
{
  auto& sessions = mLinks.at(aLink);
  if (sessions.contains(aRelay)) {
    throw DecodeError("a session is opened twice");
  }
  if (sessions.size() >= kMaxSessionsPerRelayLink) {
    Send({ aLink, aRelay, 0 },
         { aRelay, gateway::RelayRefusal{ ResultCode::TooManyConnections } });
    return;
  }
  const gateway::SessionId session{ ++mLastSession };
  sessions.emplace(aRelay, session);
  mSessions.emplace(session, Intake{ aLink, aRelay, 0 });
  gateway::SessionOpened opened;
  opened.mSession = session;
  opened.mDatabase = aOpening.mDatabase;
  opened.mKey = aOpening.mKey;
  opened.mIsRelayed = true;
  mSink.Deliver(std::move(opened));
}

void
RelayIntake::Handle(gateway::PeerLinkId aLink,
                    gateway::RelayId aRelay,
                    const gateway::Statement& aStatement)
{
  const auto& sessions = mLinks.at(aLink);
  const auto it = sessions.find(aRelay);
  if (it == sessions.end()) {
    // The session has ended here; the entry host is about to learn of it.
    return;
  }
  ++mSessions.at(it->second).mStatements;
  mSink.Deliver(gateway::StatementReceived{ it->second, aStatement });
}

void
RelayIntake::Handle(gateway::PeerLinkId aLink,
                    gateway::RelayId aRelay,
                    const gateway::RelayEnd&)
{
  const auto& sessions = mLinks.at(aLink);
  const auto it = sessions.find(aRelay);
  if (it == sessions.end()) {
    return;
  }
  const gateway::SessionId session = it->second;
  Remove(session);
  mSink.Deliver(gateway::SessionEnded{ session });
}

void
RelayIntake::Carry(const gateway::AcceptSession& aEffect)
{
  if (const Intake* const intake = Find(aEffect.mSession)) {
    Send(*intake, { intake->mRelay, gateway::RelayAcceptance{} });
  }
}

void
RelayIntake::Carry(const gateway::AnswerCaller& aEffect)
{
  const Intake* const found = Find(aEffect.mSession);
  if (found == nullptr) {
    return;
  }
  // Sending may find the connection broken and remove the session.
  const Intake intake = *found;
  if (CountBytes(aEffect.mRows) > kMaxRelayAnswerBytes) {
    WriteLog(LogLevel::Warning,
             "answer is too large to be passed to the entry host; ending the "
             "session",
             { { "session", std::to_string(aEffect.mSession.mValue) } });
    Carry(gateway::CloseSession{ aEffect.mSession });
    mSink.Deliver(gateway::SessionEnded{ aEffect.mSession });
    return;
  }
  gateway::AnswerCaller answer = aEffect;
  gateway::RelayRows part;
  std::size_t bytes = 0;
  for (std::string& row : answer.mRows) {
    if (bytes + row.size() > kMaxRelayRowBytes && !part.mRows.empty()) {
      Send(intake, { intake.mRelay, std::exchange(part, {}) });
      bytes = 0;
    }
    bytes += row.size();
    part.mRows.push_back(std::move(row));
  }
  answer.mRows = std::move(part.mRows);
  Send(intake, { intake.mRelay, std::move(answer) });
}

void
RelayIntake::Carry(const gateway::RefuseSession& aEffect)
{
  if (const Intake* const found = Find(aEffect.mSession)) {
    const Intake intake = *found;
    Remove(aEffect.mSession);
    Send(intake, { intake.mRelay, gateway::RelayRefusal{ aEffect.mCode } });
  }
}

void
RelayIntake::Carry(const gateway::CloseSession& aEffect)
{
  if (const Intake* const found = Find(aEffect.mSession)) {
    const Intake intake = *found;
    Remove(aEffect.mSession);
    Send(intake, { intake.mRelay, gateway::RelayEnd{ intake.mStatements } });
  }
}

RelayIntake::Intake*
RelayIntake::Find(gateway::SessionId aSession)
{
  const auto it = mSessions.find(aSession);
  return it == mSessions.end() ? nullptr : &it->second;
}

void
RelayIntake::Send(const Intake& aIntake,
                  const gateway::RelayResponse& aResponse)
{
  mSender(aIntake.mLink, Encode(aResponse));
}

void
RelayIntake::Remove(gateway::SessionId aSession)
{
  const auto it = mSessions.find(aSession);
  const auto link = mLinks.find(it->second.mLink);
  if (link != mLinks.end()) {
    link->second.erase(it->second.mRelay);
  }
  mSessions.erase(it);
}

}
