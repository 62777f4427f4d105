#include <catch2/catch.hpp>

#include "Gateway/Tuning.h"
#include "GatewayDriver.h"

using namespace camphorstep;
using namespace camphorstep::gateway;

namespace {

/// A host that does not hold the promoter's lease, and knows who does.
struct Follower : GatewayDriver
{
  Follower()
  {
    mState.mPromoter.mHeldUntil = Instant{};
    mState.mPromoter.mLease.mHolder = "h2";
    mState.mTimers.Cancel(TimerKind::PromoterLease, 0);
    mState.mCatalogue.mHosts["h2"] = { "h2", { "10.0.0.2", 1 }, "a", 8 };
  }

  /// Answers the last query with what the servers say, asked for a time ago.
  void Report(std::uint64_t aNumber, Duration aAge)
  {
    StatusReport report;
    report.mNumber = aNumber;
    for (const FakeServer& server : mServers) {
      ServerReport entry;
      entry.mServer = IdOf<ServerId>(server.mName);
      entry.mPrimary = server.mPrimary;
      entry.mTerm = server.mTerm;
      entry.mReceived = { server.mTerm, server.mIndex };
      entry.mApplied = entry.mReceived;
      entry.mAge = aAge;
      report.mServers.push_back(entry);
    }
    Deliver(report);
  }

  /// Lets time pass while the promoter answers each query.
  void Follow(Duration aTime)
  {
    for (Duration passed{ 0 }; passed < aTime; passed += 10ms) {
      Run(10ms);
      while (const auto query = Take<AskPeer>()) {
        Report(query->mQuery.mNumber, 100ms);
      }
    }
  }
};

}

TEST_CASE("A host that is told of the servers does not ask them", "[Sharing]")
{
  Follower driver;
  driver.Follow(1s);
  const std::uint64_t before = driver.mState.mCounters.mStatusRequests;
  driver.Follow(3s);
  CHECK(driver.mState.mCounters.mStatusRequests == before);
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Read);
  const auto read = driver.NextStatement();
  REQUIRE(read);
  CHECK(driver.ServerOf(read->mLink) == "s1");
}

TEST_CASE("A host that is told nothing asks the servers itself", "[Sharing]")
{
  Follower driver;
  driver.Follow(2s);
  const std::uint64_t before = driver.mState.mCounters.mStatusRequests;
  driver.Run(2s);
  CHECK(driver.mState.mCounters.mStatusRequests > before);
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Read);
  CHECK(driver.NextStatement());
}

TEST_CASE("A report counts from the time of its query", "[Sharing]")
{
  Follower driver;
  for (GatewayDriver::FakeServer& server : driver.mServers) {
    server.mDown = true;
  }
  driver.Run(kLeaseTime + 200ms);
  while (driver.Take<AskPeer>()) {
  }
  driver.Run(kShareInterval + 20ms);
  const auto query = driver.Take<AskPeer>();
  REQUIRE(query);
  // The report says that its statuses are as old as the lease allows.
  driver.Report(query->mQuery.mNumber, kLeaseTime);
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Read);
  CHECK_FALSE(driver.NextStatement());
}

TEST_CASE("A report on an earlier query is not used", "[Sharing]")
{
  Follower driver;
  for (GatewayDriver::FakeServer& server : driver.mServers) {
    server.mDown = true;
  }
  driver.Run(kLeaseTime + 200ms);
  const auto query = driver.Take<AskPeer>();
  REQUIRE(query);
  driver.Run(2 * kShareInterval);
  driver.Report(query->mQuery.mNumber, 0ms);
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Read);
  CHECK_FALSE(driver.NextStatement());
}

TEST_CASE("Only the holder of the lease reports statuses", "[Sharing]")
{
  GatewayDriver promoter;
  promoter.Deliver(PeerAsked{ PeerLinkId{ 4 }, { 9, "h2", {} } });
  const auto answer = promoter.Take<AnswerPeer>();
  REQUIRE(answer);
  CHECK(answer->mLink == PeerLinkId{ 4 });
  CHECK(answer->mReport.mNumber == 9);
  CHECK(answer->mReport.mServers.size() == 3);
  Follower follower;
  follower.Deliver(PeerAsked{ PeerLinkId{ 4 }, { 9, "h3", {} } });
  CHECK(follower.Take<AnswerPeer>()->mReport.mServers.empty());
}

TEST_CASE("A primary that half of the hosts cannot reach is replaced",
          "[Sharing]")
{
  GatewayDriver driver;
  for (const char* const name : { "h1", "h2", "h3", "h4" }) {
    driver.mState.mCatalogue.mHosts[name] = { name, {}, "a", 1 };
  }
  const auto report = [&driver](const std::string& aHost) {
    driver.Deliver(
      PeerAsked{ PeerLinkId{ 4 }, { 1, aHost, { IdOf<ServerId>("s1") } } });
  };
  report("h2");
  driver.Run(500ms);
  CHECK(driver.Server("s1").mPrimary);
  report("h2");
  report("h3");
  driver.Run(500ms);
  CHECK_FALSE(driver.Server("s1").mPrimary);
}
