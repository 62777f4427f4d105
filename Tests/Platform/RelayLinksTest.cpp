#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <cxxtools/eventloop.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/timer.h>

#include "Gateway/RelayMessage.h"
#include "Shell/GatewayPeers.h"
#include "Shell/RelayLimits.h"
#include "Wire/Codec.h"

using namespace camphorstep;
using gateway::RelayId;
using gateway::SessionId;

namespace {

const Address kOwnerAddress{ "127.0.0.1", 18'990 };
const Address kEntryAddress{ "127.0.0.1", 18'991 };
const RelayId kRelay{ 5 };
/// A test that takes longer has failed.
constexpr double kTimeLimitMs = 5'000.0;

/// Hands events to a function.
class FunctionSink : public GatewaySink
{
public:
  void Deliver(gateway::EventBody aEvent) override
  {
    mHandler(std::move(aEvent));
  }

  std::function<void(gateway::EventBody)> mHandler = [](const auto&) {};
};

/// Two hosts of which one passes sessions on to the other.
class TwoHosts : public cxxtools::Connectable
{
public:
  TwoHosts()
    : mOwner(std::make_unique<GatewayPeers>(mLoop, mOwnerSink, kOwnerAddress))
    , mEntry(mLoop, mEntrySink, kEntryAddress)
  {
    mTimer.setSelector(mLoop);
    cxxtools::connect(mTimer.timeout, *this, &TwoHosts::OnTimeout);
    mTimer.start(cxxtools::Milliseconds(kTimeLimitMs));
  }

  void Open()
  {
    mEntry.CarryRelayed(gateway::OpenRelay{
      kRelay, "owner", kOwnerAddress, "main", gateway::KeyDigest{ 7, 8 } });
  }

  void Run() { mLoop.run(); }

  cxxtools::EventLoop mLoop;
  FunctionSink mOwnerSink;
  FunctionSink mEntrySink;
  std::unique_ptr<GatewayPeers> mOwner;
  GatewayPeers mEntry;
  bool mTimedOut = false;

private:
  void OnTimeout()
  {
    mTimedOut = true;
    mLoop.exit();
  }

  cxxtools::Timer mTimer;
};

gateway::Statement
MakeStatement()
{
  gateway::Statement statement;
  statement.mId = "5c0e7a21d94b36f8";
  statement.mKind = gateway::StatementKind::Prepare;
  statement.mText = "PREPARE s WRITE q\nr";
  statement.mName = "s";
  statement.mArgument = "q\nr";
  statement.mWrites = true;
  return statement;
}

/// An answer with more rows than one frame holds.
gateway::AnswerCaller
MakeAnswer(SessionId aSession)
{
  gateway::AnswerCaller answer;
  answer.mSession = aSession;
  answer.mRows.assign(12, std::string(kMaxRelayRowBytes / 2 + 1, 'x'));
  answer.mRows.front() = "first";
  answer.mRows.back() = "last";
  answer.mSignature = "signature";
  answer.mState = gateway::TransactionState::Open;
  answer.mPosition = Position{ 3, 1209 };
  return answer;
}

}

TEST_CASE("A session passes through two hosts unchanged", "[RelayLinks]")
{
  TwoHosts hosts;
  const gateway::Statement statement = MakeStatement();
  hosts.mOwnerSink.mHandler = [&](const gateway::EventBody& aEvent) {
    if (const auto* const opened =
          std::get_if<gateway::SessionOpened>(&aEvent)) {
      CHECK(opened->mIsRelayed);
      CHECK(opened->mDatabase == "main");
      CHECK(opened->mKey == gateway::KeyDigest{ 7, 8 });
      CHECK(RelayIntake::Owns(opened->mSession));
      hosts.mOwner->CarryRelayed(gateway::AcceptSession{ opened->mSession });
    } else if (const auto* const received =
                 std::get_if<gateway::StatementReceived>(&aEvent)) {
      CHECK(received->mStatement.mId == statement.mId);
      CHECK(received->mStatement.mKind == statement.mKind);
      CHECK(received->mStatement.mText == statement.mText);
      CHECK(received->mStatement.mName == statement.mName);
      CHECK(received->mStatement.mArgument == statement.mArgument);
      CHECK(received->mStatement.mWrites);
      hosts.mOwner->CarryRelayed(MakeAnswer(received->mSession));
      hosts.mOwner->CarryRelayed(gateway::CloseSession{ received->mSession });
    }
  };
  bool hasEnded = false;
  int answers = 0;
  hosts.mEntrySink.mHandler = [&](const gateway::EventBody& aEvent) {
    const auto& response = std::get<gateway::RelayResponse>(aEvent);
    CHECK(response.mRelay == kRelay);
    if (std::holds_alternative<gateway::RelayAcceptance>(response.mBody)) {
      hosts.mEntry.CarryRelayed(
        gateway::SendOnRelay{ kRelay, "owner", statement });
    } else if (const auto* const answer =
                 std::get_if<gateway::AnswerCaller>(&response.mBody)) {
      const gateway::AnswerCaller sent = MakeAnswer(SessionId{});
      ++answers;
      CHECK(answer->mRows == sent.mRows);
      CHECK(answer->mSignature == sent.mSignature);
      CHECK(answer->mState == sent.mState);
      CHECK(answer->mPosition == sent.mPosition);
    } else if (const auto* const end =
                 std::get_if<gateway::RelayEnd>(&response.mBody)) {
      CHECK(end->mStatements == 1);
      hasEnded = true;
      hosts.mLoop.exit();
    }
  };
  hosts.Open();
  hosts.Run();
  CHECK_FALSE(hosts.mTimedOut);
  CHECK(answers == 1);
  CHECK(hasEnded);
}

TEST_CASE("An entry host learns that the owner is gone", "[RelayLinks]")
{
  TwoHosts hosts;
  std::string lost;
  hosts.mEntrySink.mHandler = [&](const gateway::EventBody& aEvent) {
    if (const auto* const event =
          std::get_if<gateway::RelayConnectionLost>(&aEvent)) {
      lost = event->mHost;
      hosts.mLoop.exit();
    }
  };
  SECTION("before it could be reached")
  {
    hosts.mOwner.reset();
  }
  SECTION("after it has got the session")
  {
    hosts.mOwnerSink.mHandler = [&](const gateway::EventBody&) {
      hosts.mLoop.exit();
    };
    hosts.Open();
    hosts.Run();
    hosts.mOwner.reset();
  }
  hosts.Open();
  if (lost.empty()) {
    hosts.Run();
  }
  CHECK_FALSE(hosts.mTimedOut);
  CHECK(lost == "owner");
}

TEST_CASE("An owner ends the sessions of an entry host that is gone",
          "[RelayLinks]")
{
  TwoHosts hosts;
  std::vector<SessionId> ended;
  SessionId opened;
  auto entry = std::make_unique<RelayLinks>(hosts.mLoop, hosts.mEntrySink);
  hosts.mOwnerSink.mHandler = [&](const gateway::EventBody& aEvent) {
    if (const auto* const event =
          std::get_if<gateway::SessionOpened>(&aEvent)) {
      opened = event->mSession;
      hosts.mLoop.exit();
    } else if (const auto* const end =
                 std::get_if<gateway::SessionEnded>(&aEvent)) {
      ended.push_back(end->mSession);
      hosts.mLoop.exit();
    }
  };
  entry->Carry(
    gateway::OpenRelay{ kRelay, "owner", kOwnerAddress, "main", {} });
  hosts.Run();
  entry.reset();
  hosts.Run();
  CHECK_FALSE(hosts.mTimedOut);
  CHECK(ended == std::vector<SessionId>{ opened });
}

TEST_CASE("A host of another version closes the connection", "[RelayLinks]")
{
  TwoHosts hosts;
  bool closed = false;
  FramedConnection::Handlers handlers;
  handlers.mOnConnected = [] {};
  handlers.mOnFrame = [](const std::string&) {};
  handlers.mOnClosed = [&] {
    closed = true;
    hosts.mLoop.exit();
  };
  FramedConnection connection(std::move(handlers));
  SECTION("at a greeting of another version")
  {
    connection.Send(Encode(gateway::PeerMessage(
      gateway::RelayGreeting{ gateway::kRelayVersion + 1 })));
  }
  SECTION("at a message that it does not know")
  {
    std::string unknown =
      Encode(gateway::PeerMessage(gateway::RelayGreeting{}));
    unknown.front() = '\x7f';
    connection.Send(unknown);
  }
  SECTION("at a malformed message on a session")
  {
    connection.Send(Encode(gateway::PeerMessage(gateway::RelayGreeting{})));
    connection.Send("\x05\xff");
  }
  connection.Connect(hosts.mLoop, kOwnerAddress);
  hosts.Run();
  CHECK(closed);
}

TEST_CASE("Truncated messages on sessions are rejected", "[RelayLinks]")
{
  const std::string request =
    Encode(gateway::RelayRequest{ kRelay, MakeStatement() });
  for (std::size_t n = 0; n < request.size(); ++n) {
    CHECK_THROWS_AS(Decode<gateway::RelayRequest>(request.substr(0, n)),
                    DecodeError);
  }
  gateway::AnswerCaller answer;
  answer.mRows = { "row" };
  answer.mPosition = Position{ 1, 2 };
  const std::string response = Encode(gateway::RelayResponse{ kRelay, answer });
  for (std::size_t n = 0; n < response.size(); ++n) {
    CHECK_THROWS_AS(Decode<gateway::RelayResponse>(response.substr(0, n)),
                    DecodeError);
  }
}

TEST_CASE("Sessions of a connection end", "[RelayLinks]")
{
  FunctionSink sink;
  std::size_t sent = 0;
  RelayIntake intake(sink, [&](gateway::PeerLinkId, const std::string& aText) {
    CHECK(aText.size() < kMaxFrameSize);
    ++sent;
  });
  const gateway::PeerLinkId link{ 1 };
  intake.AddLink(link);
  std::vector<gateway::EventBody> events;
  sink.mHandler = [&](gateway::EventBody aEvent) {
    events.push_back(std::move(aEvent));
  };
  intake.HandleRequest(
    link, Encode(gateway::RelayRequest{ kRelay, gateway::RelayOpening{} }));
  CHECK_THROWS_AS(
    intake.HandleRequest(
      link, Encode(gateway::RelayRequest{ kRelay, gateway::RelayOpening{} })),
    DecodeError);
  const SessionId session =
    std::get<gateway::SessionOpened>(events.front()).mSession;
  intake.Carry(MakeAnswer(session));
  CHECK(sent > 1);
  SECTION("that ends")
  {
    intake.RemoveLink(link);
  }
  SECTION("that an answer would hold up")
  {
    gateway::AnswerCaller answer;
    answer.mSession = session;
    answer.mRows.assign(9, std::string(1024 * 1024, 'x'));
    sent = 0;
    intake.Carry(answer);
    CHECK(sent == 1);
  }
  CHECK(std::get<gateway::SessionEnded>(events.back()).mSession == session);
  sent = 0;
  intake.Carry(MakeAnswer(session));
  CHECK(sent == 0);
}

TEST_CASE("An entry host that does not read is cut off", "[RelayLinks]")
{
  // The answers must not pile up in the owner's memory.
  TwoHosts hosts;
  SessionId opened;
  bool hasEnded = false;
  hosts.mOwnerSink.mHandler = [&](const gateway::EventBody& aEvent) {
    if (const auto* const event =
          std::get_if<gateway::SessionOpened>(&aEvent)) {
      opened = event->mSession;
      hosts.mLoop.exit();
    }
    hasEnded =
      hasEnded || std::holds_alternative<gateway::SessionEnded>(aEvent);
  };
  cxxtools::net::TcpSocket entry(kOwnerAddress.mIp, kOwnerAddress.mPort);
  const std::string greeting =
    MakeFrame(Encode(gateway::PeerMessage(gateway::RelayGreeting{})));
  const std::string opening =
    MakeFrame(Encode(gateway::RelayRequest{ kRelay, gateway::RelayOpening{} }));
  entry.write(greeting.data(), greeting.size());
  entry.write(opening.data(), opening.size());
  hosts.Run();
  REQUIRE(opened);
  std::size_t answers = 0;
  while (!hasEnded && answers < 100) {
    hosts.mOwner->CarryRelayed(MakeAnswer(opened));
    ++answers;
  }
  CHECK(hasEnded);
  // Beside what may wait, the system's buffers take some.
  constexpr std::size_t kSystemBytes = 16 * 1024 * 1024;
  constexpr std::size_t kAnswerBytes = 5 * 1024 * 1024;
  CHECK(answers * kAnswerBytes <=
        kMaxUnsentRelayBytes + kSystemBytes + 2 * kAnswerBytes);
}

TEST_CASE("Statements are not sent to an owner that does not read",
          "[RelayLinks]")
{
  TwoHosts hosts;
  std::vector<gateway::EventBody> events;
  hosts.mEntrySink.mHandler = [&](gateway::EventBody aEvent) {
    events.push_back(std::move(aEvent));
  };
  hosts.Open();
  gateway::Statement statement = MakeStatement();
  statement.mText.assign(1024 * 1024, 'x');
  // Nobody reads, since the loop does not run.
  std::size_t sent = 0;
  while (events.empty() && sent < 100) {
    hosts.mEntry.CarryRelayed(
      gateway::SendOnRelay{ kRelay, "owner", statement });
    ++sent;
  }
  REQUIRE(events.size() == 1);
  CHECK(std::get<gateway::RelayStatementUnsent>(events.front()).mRelay ==
        kRelay);
  CHECK(sent <= kMaxUnsentRelayBytes / statement.mText.size() + 2);
}
