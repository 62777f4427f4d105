#include <algorithm>

#include <catch2/catch.hpp>

#include "Support/Fleet.h"

using namespace camphorstep;
using namespace camphorstep::testing;

namespace {

constexpr Duration kSettle = std::chrono::milliseconds(400);
constexpr Duration kLongDeadline = std::chrono::seconds(30);

/// Runs a write so that the primary is known and connections are open.
void
WarmUp(SingleHost& aHost)
{
  aHost.Apply(aHost.MakeWrite(1, "put a 1"));
  aHost.ServeProbes(kSettle);
  const auto sent = aHost.TakeStatement();
  REQUIRE(sent);
  aHost.Reply(*sent, ServerStatus::Ok, "1");
  REQUIRE(aHost.Take<AnswerCaller>());
  aHost.ServeProbes(kSettle);
}

/// Makes all existing connections permanently silent.
void
SilenceAll(SingleHost& aHost)
{
  aHost.mSilentUpTo = aHost.mState.mDispatcher.mLastConnection;
}

constexpr std::size_t kWrites = 5;

/// Submits kWrites writes and returns those that are sent at once.
std::vector<SendToServer>
SendWrites(SingleHost& aHost, std::uint64_t& aCall)
{
  for (std::size_t n = 0; n < kWrites; ++n) {
    CallerRequest write = aHost.MakeWrite(++aCall, "put b 2");
    write.mDeadline = kLongDeadline;
    aHost.Apply(write);
  }
  std::vector<SendToServer> sent;
  while (const auto it = aHost.TakeStatement()) {
    sent.push_back(*it);
  }
  return sent;
}

std::size_t
CountAnswers(SingleHost& aHost)
{
  std::size_t count = 0;
  while (aHost.Take<AnswerCaller>()) {
    ++count;
  }
  return count;
}

int
CountStatementConnections(const SingleHost& aHost)
{
  const auto& servers = aHost.mState.mDispatcher.mServers;
  const auto& connections =
    servers.at(IdOf<ServerId>("records-1")).mConnections;
  return static_cast<int>(std::count_if(
    connections.begin(), connections.end(), [](const auto& aItem) {
      return !aItem.second.mIsControl;
    }));
}

}

TEST_CASE("Idle connections that went silent are replaced before their use",
          "[Liveness]")
{
  SingleHost host;
  WarmUp(host);
  SilenceAll(host);
  host.ServeProbes(std::chrono::milliseconds(800));
  host.Apply(host.MakeWrite(2, "put b 2"));
  host.ServeProbes(std::chrono::milliseconds(10));
  const auto sent = host.TakeStatement();
  REQUIRE(sent);
  CHECK(sent->mConnection.mValue > host.mSilentUpTo);
}

TEST_CASE("A statement on a silent connection ends before its deadline",
          "[Liveness]")
{
  SingleHost host;
  WarmUp(host);
  SilenceAll(host);
  CallerRequest write = host.MakeWrite(2, "put b 2");
  write.mDeadline = kLongDeadline;
  host.Apply(write);
  REQUIRE(host.TakeStatement());
  host.ServeProbes(std::chrono::milliseconds(1'000));
  const auto answer = host.Take<AnswerCaller>();
  REQUIRE(answer);
  CHECK(answer->mAnswer.mOutcome == Outcome::Unknown);
  CHECK(answer->mAnswer.mCode == ResultCode::ConnectionLost);
  CHECK_FALSE(host.TakeStatement());
}

TEST_CASE("Connections that go silent repeatedly are detected each time",
          "[Liveness]")
{
  SingleHost host;
  WarmUp(host);
  std::uint64_t call = 2;
  for (int n = 0; n < 6; ++n) {
    SilenceAll(host);
    const std::size_t silent = SendWrites(host, call).size();
    REQUIRE(silent > 0);
    // The remaining statements use new connections, on which the server
    // replies.
    std::size_t served = 0;
    for (int slice = 0; slice < 10; ++slice) {
      host.ServeProbes(std::chrono::milliseconds(50));
      while (const auto sent = host.TakeStatement()) {
        CHECK(sent->mConnection.mValue > host.mSilentUpTo);
        host.Reply(*sent, ServerStatus::Ok, "1");
        ++served;
      }
    }
    CAPTURE(n);
    CHECK(served + silent == kWrites);
    CHECK(CountAnswers(host) == kWrites);
    host.ServeProbes(std::chrono::milliseconds(200));
  }
}

TEST_CASE("An idempotent statement on a silent connection is run again",
          "[Liveness]")
{
  SingleHost host;
  WarmUp(host);
  SilenceAll(host);
  CallerRequest write = host.MakeWrite(2, "put b 2");
  write.mDeadline = kLongDeadline;
  write.mIdempotent = true;
  host.Apply(write);
  REQUIRE(host.TakeStatement());
  host.ServeProbes(std::chrono::milliseconds(1'500));
  const auto again = host.TakeStatement();
  REQUIRE(again);
  CHECK(again->mConnection.mValue > host.mSilentUpTo);
}

TEST_CASE("A slow statement keeps its connection while probes are answered",
          "[Liveness]")
{
  SingleHost host;
  WarmUp(host);
  CallerRequest write = host.MakeWrite(2, "put b 2");
  write.mDeadline = kLongDeadline;
  host.Apply(write);
  const auto sent = host.TakeStatement();
  REQUIRE(sent);
  host.ServeProbes(std::chrono::seconds(5));
  CHECK_FALSE(host.Take<AnswerCaller>());
  host.Reply(*sent, ServerStatus::Ok, "2");
  const auto answer = host.Take<AnswerCaller>();
  REQUIRE(answer);
  CHECK(answer->mAnswer.mOutcome == Outcome::Done);
}

TEST_CASE("An unresponsive server is not treated as a silent connection",
          "[Liveness]")
{
  SingleHost host;
  WarmUp(host);
  CallerRequest write = host.MakeWrite(2, "put b 2");
  write.mDeadline = kLongDeadline;
  host.Apply(write);
  const auto sent = host.TakeStatement();
  REQUIRE(sent);
  host.mSilentUpTo = UINT64_MAX;
  host.ServeProbes(std::chrono::seconds(3));
  CHECK_FALSE(host.Take<AnswerCaller>());
  host.mSilentUpTo = 0;
  host.Reply(*sent, ServerStatus::Ok, "2");
  // The write lease has expired, so the answer waits for a new lease.
  CHECK_FALSE(host.Take<AnswerCaller>());
  host.ServeProbes(std::chrono::seconds(2));
  const auto answer = host.Take<AnswerCaller>();
  REQUIRE(answer);
  CHECK(answer->mAnswer.mOutcome == Outcome::Done);
}

TEST_CASE("A server in use has warm connections and an unused one has none",
          "[Liveness]")
{
  SingleHost host;
  WarmUp(host);
  CHECK(CountStatementConnections(host) >= 2);
  host.ServeProbes(std::chrono::seconds(120));
  CHECK(host.mState.mDispatcher.mServerOfConnection.empty());
}

TEST_CASE("Failed connection attempts are retried at a limited rate",
          "[Liveness]")
{
  SingleHost host;
  WarmUp(host);
  std::vector<ConnectionId> open;
  for (const auto& [id, server] : host.mState.mDispatcher.mServerOfConnection) {
    open.push_back(id);
  }
  for (const ConnectionId id : open) {
    host.Apply(ServerDisconnected{ id });
  }
  host.mOpened.clear();
  CallerRequest write = host.MakeWrite(2, "put b 2");
  write.mDeadline = kLongDeadline;
  host.Apply(write);
  int pooled = 0;
  int watching = 0;
  for (int n = 0; n < 400; ++n) {
    host.Advance(std::chrono::milliseconds(5));
    while (const auto opened = host.Take<OpenConnection>()) {
      const bool isPooled =
        host.mState.mDispatcher.mServerOfConnection.contains(
          opened->mConnection);
      ++(isPooled ? pooled : watching);
      host.Apply(ServerDisconnected{ opened->mConnection });
    }
  }
  // Over two seconds, for three servers.
  CAPTURE(pooled, watching);
  CHECK(pooled + watching < 60);
}
