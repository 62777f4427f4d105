#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Backend/OpeningPace.h"
#include "Gateway/Tuning.h"
#include "GatewayDriver.h"

using namespace camphorstep;
using namespace camphorstep::gateway;

namespace {

/// Delivers statements to the core in sessions of their own, without answers of
/// the servers in between.
void
DeliverReads(GatewayDriver& aDriver, std::uint64_t aCount)
{
  for (std::uint64_t n = 1; n <= aCount; ++n) {
    aDriver.OpenSession(n, "main");
    Statement statement;
    statement.mId = "id" + std::to_string(n);
    statement.mKind = StatementKind::Read;
    aDriver.Deliver(StatementReceived{ SessionId{ n }, statement });
  }
}

std::vector<OpenLink>
TakeOpenings(GatewayDriver& aDriver)
{
  std::vector<OpenLink> openings;
  while (const auto open = aDriver.Take<OpenLink>()) {
    openings.push_back(*open);
  }
  return openings;
}

}

TEST_CASE("Quick openings let more go on at the same time", "[OpeningPace]")
{
  OpeningPace pace;
  CHECK(pace.mWindow == 1);
  RecordOpened(pace, 15ms);
  CHECK(pace.mWindow == 2);
  RecordOpened(pace, 15ms);
  RecordOpened(pace, 15ms);
  CHECK(pace.mWindow == kMaxOpening);
  RecordOpened(pace, 400ms);
  CHECK(pace.mWindow == 1);
}

TEST_CASE("A failed opening lets the openings begin anew", "[OpeningPace]")
{
  OpeningPace pace;
  RecordOpened(pace, 15ms);
  RecordOpeningFailed(pace);
  CHECK(pace.mWindow == 1);
}

// Load: many hosts wait for the connections of a full server.
TEST_CASE("A full server is asked less and less often", "[OpeningPace]")
{
  OpeningPace pace;
  CHECK(RecordTurnedAway(pace) == kServerFullRetryDelay);
  CHECK(RecordTurnedAway(pace) == 2 * kServerFullRetryDelay);
  CHECK(RecordTurnedAway(pace) == 4 * kServerFullRetryDelay);
  CHECK(RecordTurnedAway(pace) == 4 * kServerFullRetryDelay);
  RecordOpened(pace, 15ms);
  CHECK(RecordTurnedAway(pace) == kServerFullRetryDelay);
}

// Load: all hosts have started, and many callers return to each.
TEST_CASE("After a start the connections to a server are opened one by one",
          "[OpeningPace]")
{
  GatewayDriver driver;
  driver.mEffects.clear();
  DeliverReads(driver, 8);
  auto openings = TakeOpenings(driver);
  REQUIRE(openings.size() == 1);
  SECTION("and more at a time while the server is quick")
  {
    driver.AdvanceTime(20ms);
    driver.Deliver(LinkReady{ openings[0].mLink, std::nullopt });
    CHECK(TakeOpenings(driver).size() == 2);
  }
  SECTION("one at a time while the server is slow")
  {
    driver.AdvanceTime(200ms);
    driver.Deliver(LinkReady{ openings[0].mLink, std::nullopt });
    CHECK(TakeOpenings(driver).size() == 1);
  }
}

TEST_CASE(
  "The first connection after a start carries the most urgent statement",
  "[OpeningPace]")
{
  GatewayDriver driver;
  driver.mEffects.clear();
  DeliverReads(driver, 4);
  auto& queue = driver.mState.mBackends.at(IdOf<ServerId>("s1")).mQueue;
  REQUIRE(queue.size() == 4);
  const SessionId first = queue.begin()->second;
  const auto openings = TakeOpenings(driver);
  REQUIRE(openings.size() == 1);
  driver.Deliver(LinkReady{ openings[0].mLink, std::nullopt });
  const auto sent = driver.Take<SendOnLink>();
  REQUIRE(sent);
  CHECK(sent->mRequest.mId == "id" + std::to_string(first.mValue));
}
