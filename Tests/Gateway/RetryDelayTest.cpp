#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "Gateway/Tuning.h"
#include "GatewayDriver.h"
#include "Session/RetryDelay.h"

using namespace camphorstep;
using namespace camphorstep::gateway;
using namespace std::chrono_literals;

namespace {

constexpr Duration kLimit = 2s;

/// Returns the delay that a refusal advises, in milliseconds.
int
AdvisedMilliseconds(const gateway::AnswerCaller& aAnswer)
{
  const std::string prefix = "retry after ";
  const auto at = aAnswer.mErrorText.find(prefix);
  return at == std::string::npos
           ? 0
           : std::stoi(aAnswer.mErrorText.substr(at + prefix.size()));
}

}

TEST_CASE("The delay before a retry follows the expected wait", "[RetryDelay]")
{
  for (int n = 0; n < 100; ++n) {
    const std::string request = "id" + std::to_string(n);
    const Duration delay = RetryDelay(800ms, kLimit, request);
    CHECK(delay >= 600ms);
    CHECK(delay <= 1000ms);
    CHECK(RetryDelay(1ms, kLimit, request) >= kLeastRetryDelay * 3 / 4);
    CHECK(RetryDelay(60s, kLimit, request) <= kLimit * 5 / 4);
    // The wait is not known.
    CHECK(RetryDelay(0ms, kLimit, request) >= kRetryHint * 3 / 4);
    CHECK(RetryDelay(0ms, kLimit, request) <= kRetryHint * 5 / 4);
  }
}

// Load: many callers are refused at the same moment.
TEST_CASE("Callers that were refused together return apart", "[RetryDelay]")
{
  constexpr int kCallers = 400;
  // Callers that return within a tenth of the spread.
  std::map<Duration::rep, int> counts;
  for (int n = 0; n < kCallers; ++n) {
    const Duration delay = RetryDelay(1s, kLimit, "id" + std::to_string(n));
    ++counts[(delay - 750ms) / 50ms];
  }
  CHECK(counts.size() >= 9);
  for (const auto& [tenth, count] : counts) {
    CHECK(count < kCallers / 5);
  }
  CHECK(RetryDelay(1s, kLimit, "id1") == RetryDelay(1s, kLimit, "id1"));
}

// Load: a server that stays at a pace far below the arrivals.
TEST_CASE("A refusal advises to return when the queue has drained",
          "[RetryDelay]")
{
  GatewayDriver driver;
  std::uint64_t session = 0;
  int advised = 0;
  for (int round = 0; round < 200 && advised == 0; ++round) {
    for (int n = 0; n < 5; ++n) {
      driver.OpenSession(++session, "main");
      driver.Send(session, StatementKind::Read);
    }
    if (const auto sent = driver.NextStatement()) {
      driver.Reply(*sent);
    }
    driver.AdvanceTime(40ms);
    while (const auto answer = driver.Answer()) {
      if (answer->mErrorText.starts_with("too many")) {
        advised = AdvisedMilliseconds(*answer);
      }
    }
  }
  // The queue is longer than the statements' time limit of a second.
  CHECK(advised >= 750);
}

// Load: a group without a primary, while callers go on sending.
TEST_CASE("Statements are refused at once while the primary is lost for long",
          "[RetryDelay]")
{
  GatewayDriver driver;
  driver.Server("s2").mDown = true;
  driver.Server("s3").mDown = true;
  driver.Run(kEvidenceTimeout + 500ms);
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Write);
  // It may come back in time at first.
  CHECK_FALSE(driver.Answer());
  driver.Run(2500ms);
  CHECK(driver.Answer());
  driver.OpenSession(2, "main");
  driver.Send(2, StatementKind::Write);
  const auto refusal = driver.Answer();
  REQUIRE(refusal);
  CHECK(refusal->mCode == ResultCode::Overloaded);
  CHECK(AdvisedMilliseconds(*refusal) >= 750);
  driver.Server("s2").mDown = false;
  driver.Server("s3").mDown = false;
  driver.Run(2s);
  driver.OpenSession(3, "main");
  driver.Send(3, StatementKind::Write);
  CHECK_FALSE(driver.Answer());
  CHECK(driver.NextStatement());
}
