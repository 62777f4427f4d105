#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "Gateway/Tuning.h"
#include "GatewayDriver.h"

using namespace camphorstep;
using namespace camphorstep::gateway;

namespace {

/// More reads than the primary is given at once.
constexpr std::uint64_t kReads = 20;

/// Lets the primary write an entry every 100 ms, which replicas receive but do
/// not apply.
void
WriteEntries(GatewayDriver& aDriver, int aCount)
{
  for (int n = 0; n < aCount; ++n) {
    for (GatewayDriver::FakeServer& server : aDriver.mServers) {
      ++server.mIndex;
    }
    aDriver.Run(100ms);
  }
}

/// Has the replicas stop applying entries, and the primary write for 2 s more.
void
DelayReplicas(GatewayDriver& aDriver)
{
  for (const char* const name : { "s2", "s3" }) {
    GatewayDriver::FakeServer& server = aDriver.Server(name);
    server.mAppliedIndex = server.mIndex;
    server.mLag = 5s;
  }
  WriteEntries(aDriver, 20);
}

/// Sends reads in sessions of their own.
void
SendReads(GatewayDriver& aDriver, const std::string& aDatabase)
{
  for (std::uint64_t n = 1; n <= kReads; ++n) {
    aDriver.OpenSession(n, aDatabase);
    aDriver.Send(n, StatementKind::Read);
  }
}

/// Removes the statements that were sent to servers, and returns how many were
/// sent to each.
std::map<std::string, std::size_t>
CountSent(GatewayDriver& aDriver)
{
  std::map<std::string, std::size_t> counts;
  while (const auto sent = aDriver.NextStatement()) {
    ++counts[aDriver.ServerOf(sent->mLink)];
  }
  return counts;
}

}

TEST_CASE("Reads that need the primary go there without a position",
          "[Routing]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Read);
  const auto read = driver.NextStatement();
  REQUIRE(read);
  CHECK(driver.ServerOf(read->mLink) == "s1");
  CHECK_FALSE(read->mRequest.mAfter);
}

TEST_CASE("Bounded reads go to the nearest replica with a position",
          "[Routing]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "near");
  driver.Send(1, StatementKind::Read);
  const auto read = driver.NextStatement();
  REQUIRE(read);
  CHECK(driver.ServerOf(read->mLink) == "s2");
  REQUIRE(read->mRequest.mAfter);
  CHECK(*read->mRequest.mAfter == Position{ 1, 100 });
}

TEST_CASE("A read is not retried at a replica that is behind its position",
          "[Routing]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "near");
  driver.Send(1, StatementKind::Read);
  const auto read = driver.NextStatement();
  REQUIRE(read);
  driver.Server("s2").mIndex = 90;
  driver.Reply(*read, ResultCode::ReplicaBehind);
  driver.Run(10ms);
  const auto again = driver.NextStatement();
  REQUIRE(again);
  CHECK(driver.ServerOf(again->mLink) != "s2");
}

TEST_CASE("A session's own commit is required of replicas", "[Routing]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "own");
  driver.Send(1, StatementKind::Write);
  const auto write = driver.NextStatement();
  REQUIRE(write);
  CHECK(driver.ServerOf(write->mLink) == "s1");
  driver.Server("s1").mIndex = 105;
  driver.Reply(*write);
  driver.Send(1, StatementKind::Read);
  const auto read = driver.NextStatement();
  REQUIRE(read);
  const bool atPrimary = driver.ServerOf(read->mLink) == "s1";
  const bool withCommit =
    read->mRequest.mAfter && *read->mRequest.mAfter >= Position{ 1, 105 };
  CHECK((atPrimary || withCommit));
}

TEST_CASE("Without a confirmed primary statements wait and are refused",
          "[Routing]")
{
  GatewayDriver driver;
  driver.Server("s2").mDown = true;
  driver.Server("s3").mDown = true;
  // The primary's own status is no evidence: a replica may have been promoted.
  driver.Run(kEvidenceTimeout + 500ms);
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Read);
  CHECK_FALSE(driver.NextStatement());
  driver.Run(1100ms);
  const auto answer = driver.Answer();
  REQUIRE(answer);
  CHECK(answer->mCode == ResultCode::Overloaded);
  CHECK_THAT(answer->mErrorText, Catch::Contains("retry after"));
}

TEST_CASE("A paused replica does not confirm the primary", "[Routing]")
{
  GatewayDriver driver;
  driver.Server("s3").mDown = true;
  driver.mState.mPromoter.mHeldUntil = Instant{};
  driver.mState.mPromoter.mLease.mHolder = "other";
  driver.Server("s2").mPauseTerm = 9;
  driver.mState.mTimers.Cancel(TimerKind::PromoterLease, 0);
  driver.Run(kEvidenceTimeout + 300ms);
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Read);
  CHECK_FALSE(driver.NextStatement());
}

TEST_CASE("A server that is leaving gets no new statements", "[Routing]")
{
  GatewayDriver driver;
  TableAnswer answer;
  driver.Run(kServersPollInterval);
  answer.mCall = driver.mState.mCatalogue.mTables[1].mCall;
  answer.mTable = Table::Servers;
  answer.mOutcome = CallOutcome::Ok;
  answer.mVersion = ++driver.mStoreVersion;
  ServerEntry entry = driver.mState.mBackends.at(IdOf<ServerId>("s2")).mEntry;
  entry.mLeaving = true;
  answer.mServers.push_back({ "s2", entry });
  driver.Deliver(answer);
  driver.OpenSession(1, "near");
  driver.Send(1, StatementKind::Read);
  const auto read = driver.NextStatement();
  REQUIRE(read);
  CHECK(driver.ServerOf(read->mLink) != "s2");
}

TEST_CASE("Reads go to replicas with free connections", "[Routing]")
{
  GatewayDriver driver;
  SECTION("known from the server's status")
  {
    driver.Server("s2").mConnections = 20;
    driver.Run(500ms);
  }
  SECTION("known from the server's refusal")
  {
    driver.Server("s2").mIsFull = true;
  }
  driver.OpenSession(1, "near");
  driver.Send(1, StatementKind::Read);
  const auto read = driver.NextStatement();
  REQUIRE(read);
  CHECK(driver.ServerOf(read->mLink) == "s3");
}

TEST_CASE("Reads go to the primary when the replicas have no free connections",
          "[Routing]")
{
  GatewayDriver driver;
  driver.Server("s2").mConnections = 20;
  driver.Server("s3").mConnections = 20;
  driver.Run(500ms);
  driver.OpenSession(1, "near");
  driver.Send(1, StatementKind::Read);
  const auto read = driver.NextStatement();
  REQUIRE(read);
  CHECK(driver.ServerOf(read->mLink) == "s1");
}

// Load: hosts have connections to few of a group's servers, and openings take
// the slots of the others.
TEST_CASE("A read goes where a connection is open", "[Routing]")
{
  GatewayDriver driver;
  // Both replicas are equally near.
  driver.mState.mSelf.mRegions["c"] = driver.mState.mSelf.mRegions.at("b");
  driver.OpenSession(1, "near");
  driver.OpenSession(2, "near");
  driver.Send(1, StatementKind::Read);
  const auto first = driver.NextStatement();
  REQUIRE(first);
  driver.Send(2, StatementKind::Read);
  const auto second = driver.NextStatement();
  REQUIRE(second);
  REQUIRE(driver.ServerOf(first->mLink) == "s2");
  REQUIRE(driver.ServerOf(second->mLink) == "s3");
  driver.Reply(*first);
  driver.Reply(*second);
  driver.BreakLink(first->mLink);
  driver.Send(1, StatementKind::Read);
  const auto read = driver.NextStatement();
  REQUIRE(read);
  CHECK(read->mLink == second->mLink);
}

TEST_CASE("Idle connections to a server with few free connections are closed",
          "[Routing]")
{
  GatewayDriver driver;
  const auto idle = [&driver] {
    driver.OpenSession(1, "main");
    driver.Send(1, StatementKind::Read);
    driver.Reply(*driver.NextStatement());
    driver.Run(60ms);
    return driver.mState.mBackends.at(IdOf<ServerId>("s1")).mLinks.size();
  };
  CHECK(idle() == 1);
  driver.Server("s1").mConnections = 18;
  driver.Run(500ms);
  CHECK(idle() == 0);
}

// Load: both replicas of a group apply late and all reads of the group wait for
// the primary.
TEST_CASE("Reads in the primary's queue move to a replica that has caught up",
          "[Routing]")
{
  GatewayDriver driver;
  DelayReplicas(driver);
  SendReads(driver, "near");
  const auto atFirst = CountSent(driver);
  REQUIRE(atFirst.size() == 1);
  REQUIRE(atFirst.contains("s1"));
  REQUIRE(atFirst.at("s1") < kReads);
  const std::uint64_t index = driver.Server("s1").mIndex;
  WriteEntries(driver, 5);
  CHECK(CountSent(driver).empty());
  // Enough for reads that arrived 500 ms ago, but not for one that arrives now.
  driver.Server("s2").mAppliedIndex = index - 11;
  driver.Run(300ms);
  const auto later = CountSent(driver);
  CHECK(later.size() == 1);
  CHECK(later.contains("s2"));
}

TEST_CASE("Reads without a primary go to a replica that has caught up",
          "[Routing]")
{
  GatewayDriver driver;
  DelayReplicas(driver);
  driver.Server("s1").mDown = true;
  driver.Run(kEvidenceTimeout + 50ms);
  driver.OpenSession(1, "near");
  driver.Send(1, StatementKind::Read);
  CHECK_FALSE(driver.NextStatement());
  driver.Server("s3").mAppliedIndex = driver.Server("s3").mIndex;
  driver.Run(300ms);
  const auto read = driver.NextStatement();
  REQUIRE(read);
  CHECK(driver.ServerOf(read->mLink) == "s3");
  CHECK(read->mRequest.mAfter);
}
