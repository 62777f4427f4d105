#include <optional>
#include <vector>

#include <catch2/catch.hpp>

#include "Backend/Admission.h"
#include "GatewayDriver.h"

using namespace camphorstep;
using namespace camphorstep::gateway;
using namespace std::chrono_literals;

namespace {

constexpr Instant kArrival{ 100s };
constexpr Instant kDeadline = kArrival + 1s;

/// The pace of a server that takes a statement at an even interval while others
/// wait.
ServerPace
PaceOf(Duration aStartInterval, Duration aResponseTime)
{
  ServerPace pace;
  for (int n = 0; n < 10; ++n) {
    RecordStart(pace, kArrival + aStartInterval * n, true);
  }
  RecordResponse(pace, aResponseTime);
  return pace;
}

/// The sessions whose statements were refused since the last call.
std::vector<SessionId>
TakeRefusals(GatewayDriver& aDriver)
{
  std::vector<SessionId> refused;
  while (const auto answer = aDriver.Answer()) {
    if (answer->mCode == ResultCode::Overloaded) {
      refused.push_back(answer->mSession);
    }
  }
  return refused;
}

}

TEST_CASE("The latest start leaves time for two responses", "[Admission]")
{
  CHECK(LatestStart(PaceOf(10ms, 150ms), kArrival, kDeadline) ==
        kDeadline - 300ms);
  // At least a tenth of the time limit is reserved, and at most half of it.
  CHECK(LatestStart(PaceOf(10ms, 1ms), kArrival, kDeadline) ==
        kDeadline - 100ms);
  CHECK(LatestStart(PaceOf(10ms, 900ms), kArrival, kDeadline) ==
        kDeadline - 500ms);
  CHECK(LatestStart(ServerPace{}, kArrival, kDeadline) == kDeadline - 200ms);
}

TEST_CASE("A wait is hopeless if the pace leaves no doubt", "[Admission]")
{
  const ServerPace pace = PaceOf(50ms, 50ms);
  const Instant latest = kArrival + 800ms;
  CHECK_FALSE(IsWaitHopeless(pace, 0, kArrival, latest));
  CHECK_FALSE(IsWaitHopeless(pace, 32, kArrival, latest));
  CHECK(IsWaitHopeless(pace, 33, kArrival, latest));
}

TEST_CASE("Without a measured pace no wait is hopeless", "[Admission]")
{
  CHECK_FALSE(IsWaitHopeless(ServerPace{}, 1000, kArrival, kArrival + 800ms));
}

TEST_CASE("Times without waiting statements do not count as pace",
          "[Admission]")
{
  ServerPace pace = PaceOf(10ms, 50ms);
  RecordStart(pace, kArrival + 1s, false);
  const Duration interval = pace.mStartInterval;
  RecordStart(pace, kArrival + 60s, true);
  CHECK(pace.mStartInterval == interval);
}

// Load: a burst that a server works off within the statements' time limit.
TEST_CASE("Statements of a short burst wait for the server", "[Admission]")
{
  GatewayDriver driver;
  constexpr std::uint64_t kBurst = 12;
  for (std::uint64_t n = 1; n <= kBurst; ++n) {
    driver.OpenSession(n, "main");
    driver.Send(n, StatementKind::Read);
  }
  std::uint64_t served = 0;
  for (int round = 0; round < 10; ++round) {
    while (const auto sent = driver.NextStatement()) {
      driver.Reply(*sent);
      ++served;
      driver.AdvanceTime(50ms);
    }
  }
  CHECK(served == kBurst);
  CHECK(TakeRefusals(driver).empty());
}

// Load: a server that goes on at a pace far below the arrivals.
TEST_CASE("A statement far back in a slow queue is refused at once",
          "[Admission]")
{
  GatewayDriver driver;
  std::uint64_t session = 0;
  std::optional<Instant> refusedAt;
  std::optional<Instant> sentAt;
  // Five arrivals for each statement that the server takes in 40 ms.
  for (int round = 0; round < 200 && !refusedAt; ++round) {
    for (int n = 0; n < 5; ++n) {
      driver.OpenSession(++session, "main");
      sentAt = driver.mNow;
      driver.Send(session, StatementKind::Read);
      for (const SessionId refused : TakeRefusals(driver)) {
        if (refused == SessionId{ session }) {
          refusedAt = driver.mNow;
        }
      }
    }
    if (const auto sent = driver.NextStatement()) {
      driver.Reply(*sent);
    }
    driver.AdvanceTime(40ms);
  }
  REQUIRE(refusedAt);
  CHECK(*refusedAt == *sentAt);
}
