#include <catch2/catch.hpp>

#include <string>

#include "Budget/CallerWait.h"
#include "Budget/MemoryBudget.h"
#include "Budget/ProcessLimits.h"
#include "Gateway/LogLimit.h"
#include "GatewayDriver.h"

using namespace camphorstep;
using namespace camphorstep::gateway;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = 1024 * kKilobyte;

}

TEST_CASE("A budget adds up what its holders have", "[Budget]")
{
  MemoryBudget budget;
  budget.mLimit = 100;
  SetHeld(budget, 1, 40);
  SetHeld(budget, 2, 60);
  CHECK(budget.mHeld == 100);
  CHECK_FALSE(IsOverdrawn(budget));
  SetHeld(budget, 1, 41);
  CHECK(IsOverdrawn(budget));
  SetHeld(budget, 2, 0);
  SetHeld(budget, 3, 0);
  CHECK(budget.mHeld == 41);
  CHECK(HeldBy(budget, 1) == 41);
  CHECK(HeldBy(budget, 2) == 0);
  CHECK(budget.mHolders.size() == 1);
}

TEST_CASE("The largest holder is found, and the newest of equal ones",
          "[Budget]")
{
  MemoryBudget budget;
  CHECK_FALSE(LargestHolder(budget));
  SetHeld(budget, 1, 10);
  SetHeld(budget, 2, 30);
  SetHeld(budget, 3, 30);
  SetHeld(budget, 4, 20);
  CHECK(LargestHolder(budget) == 3U);
}

TEST_CASE("New holders are refused before a budget is used up", "[Budget]")
{
  MemoryBudget budget;
  SetHeld(budget, 1, 1'000'000);
  CHECK(TakesNewHolder(budget));
  CHECK_FALSE(IsOverdrawn(budget));
  budget.mLimit = 1'200'000;
  CHECK_FALSE(TakesNewHolder(budget));
  CHECK_FALSE(IsOverdrawn(budget));
  SetHeld(budget, 1, 800'000);
  CHECK(TakesNewHolder(budget));
}

TEST_CASE("A process without limits sets none for its callers", "[Budget]")
{
  CHECK(DivideProcess(0, 0) == ProcessLimits{});
}

TEST_CASE("A thousand ordinary sessions fit the smallest host", "[Budget]")
{
  const ProcessLimits limits = DivideProcess(112, 3'010);
  CHECK(limits.mCallers >= 1'000);
  MemoryBudget budget;
  budget.mLimit = limits.mCallerBytes;
  // Values and names of some kilobytes, and a statement that waits.
  constexpr std::size_t kSessionBytes = 20 * kKilobyte;
  for (std::uint64_t n = 1; n <= 1'000; ++n) {
    SetHeld(budget, n, kSessionBytes);
    CHECK(TakesNewHolder(budget));
  }
  // Beside them, one sends a message of the largest size.
  SetHeld(budget, 1'001, 5 * kMegabyte);
  CHECK_FALSE(IsOverdrawn(budget));
}

TEST_CASE("Descriptors are kept for servers, the store and files", "[Budget]")
{
  for (const std::int64_t all : { 64, 160, 3'010, 8'192 }) {
    const ProcessLimits limits = DivideProcess(0, all);
    const std::size_t taken =
      limits.mCallers + limits.mPeers + 2 * limits.mMonitors;
    CHECK(taken * 100 < static_cast<std::size_t>(all) * 85);
    CHECK(limits.mCallerBytes == 0);
  }
}

TEST_CASE("A caller is overdue with what it leaves unfinished", "[Budget]")
{
  const CallerTimeouts timeouts{ 10s, 30s, 60s };
  const Instant start{ 1'000s };
  CallerWait wait;
  UpdateWait(wait, { false, false, false }, start);
  UpdateWait(wait, { false, false, false }, start + 5s);
  CHECK(FindOverdue(wait, timeouts, start + 9s) == OverdueCaller::None);
  CHECK(FindOverdue(wait, timeouts, start + 10s) == OverdueCaller::Opening);
  UpdateWait(wait, { true, true, false }, start + 10s);
  CHECK(FindOverdue(wait, timeouts, start + 39s) == OverdueCaller::None);
  CHECK(FindOverdue(wait, timeouts, start + 40s) == OverdueCaller::Message);
  UpdateWait(wait, { true, false, true }, start + 40s);
  CHECK(FindOverdue(wait, timeouts, start + 99s) == OverdueCaller::None);
  CHECK(FindOverdue(wait, timeouts, start + 100s) == OverdueCaller::Answer);
  UpdateWait(wait, { true, false, false }, start + 100s);
  CHECK(FindOverdue(wait, timeouts, start + 1'000s) == OverdueCaller::None);
  CHECK(IsFinished({ true, false, false }));
  CHECK_FALSE(IsFinished({ true, true, false }));
  CHECK_FALSE(IsFinished({ true, false, true }));
  CHECK_FALSE(IsFinished({ false, false, false }));
}

TEST_CASE("Lines on refusals are limited to so many in a second", "[Budget]")
{
  LogLimit limit;
  const Instant start{ 1'000s };
  int lines = 0;
  for (int n = 0; n < 1'000; ++n) {
    lines += MayLog(limit, start, 100) ? 1 : 0;
  }
  CHECK(lines == 100);
  CHECK(limit.mLeftOut == 900);
  CHECK(MayLog(limit, start + 1s, 100));
}

TEST_CASE("A session keeps values and names up to its limit", "[Budget]")
{
  GatewayDriver driver;
  driver.mState.mSelf.mMaxSessionBytes = 10'000;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::SetValue, "a", std::string(6'000, 'v'));
  CHECK(driver.Answer()->mCode == ResultCode::Ok);
  driver.Send(1, StatementKind::SetValue, "b", std::string(6'000, 'v'));
  CHECK(driver.Answer()->mCode == ResultCode::RequestTooLarge);
  driver.Send(1, StatementKind::Prepare, "p", std::string(6'000, 's'));
  CHECK(driver.Answer()->mCode == ResultCode::RequestTooLarge);
  // A value that is replaced counts once.
  driver.Send(1, StatementKind::SetValue, "a", std::string(7'000, 'v'));
  CHECK(driver.Answer()->mCode == ResultCode::Ok);
  driver.Send(1, StatementKind::SetValue, "a", "v");
  CHECK(driver.Answer()->mCode == ResultCode::Ok);
  driver.Send(1, StatementKind::Prepare, "p", std::string(6'000, 's'));
  CHECK(driver.Answer()->mCode == ResultCode::Ok);
  driver.Send(1, StatementKind::Deallocate, "p");
  CHECK(driver.Answer()->mCode == ResultCode::Ok);
  driver.Send(1, StatementKind::SetValue, "b", std::string(9'000, 'v'));
  CHECK(driver.Answer()->mCode == ResultCode::Ok);
}

TEST_CASE("The shell is told what large sessions take, not small ones",
          "[Budget]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::SetValue, "a", "small");
  CHECK_FALSE(driver.Take<ReportSessionMemory>());
  driver.Send(1, StatementKind::SetValue, "a", std::string(60'000, 'v'));
  const auto report = driver.Take<ReportSessionMemory>();
  REQUIRE(report);
  CHECK(report->mSession == SessionId{ 1 });
  CHECK(report->mBytes >= 60'000);
  driver.Send(1, StatementKind::SetValue, "a", "small");
  REQUIRE(driver.Take<ReportSessionMemory>());
}

TEST_CASE("Statements that wait count until they are answered", "[Budget]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Write, "", std::string(100'000, 'w'));
  const auto waiting = driver.Take<ReportSessionMemory>();
  REQUIRE(waiting);
  CHECK(waiting->mBytes >= 100'000);
  driver.Reply(*driver.NextStatement());
  const auto answered = driver.Take<ReportSessionMemory>();
  REQUIRE(answered);
  CHECK(answered->mBytes < 1'000);
}

TEST_CASE("A connection does not keep large values for nobody", "[Budget]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::SetValue, "a", std::string(100'000, 'v'));
  driver.Send(1, StatementKind::Read);
  const auto read = driver.NextStatement();
  REQUIRE(read);
  driver.Reply(*read);
  const auto reset = driver.Take<SendOnLink>();
  REQUIRE(reset);
  CHECK(reset->mLink == read->mLink);
  CHECK(reset->mRequest.mVerb == BackendVerb::Reset);
  CHECK(driver.mState.mLinks.at(read->mLink).mValues.empty());
}

TEST_CASE("A connection whose rollback has no answer is closed", "[Budget]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Begin);
  driver.Send(1, StatementKind::Read);
  const auto begin = driver.NextStatement();
  REQUIRE(begin);
  driver.Reply(*begin, ResultCode::Ok, TransactionState::Open);
  const auto read = driver.NextStatement();
  REQUIRE(read);
  driver.Reply(*read, ResultCode::Ok, TransactionState::Open);
  driver.Send(1, StatementKind::Rollback);
  const auto rollback = driver.Take<SendOnLink>();
  REQUIRE(rollback);
  REQUIRE(rollback->mRequest.mVerb == BackendVerb::Rollback);
  driver.AdvanceTime(5s);
  CHECK_FALSE(driver.mState.mLinks.contains(rollback->mLink));
}

TEST_CASE("Many connections keep less each", "[Budget]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  // As many connections as a large site has.
  for (std::uint64_t n = 1; n <= 2'000; ++n) {
    const LinkId id{ 1'000'000 + n };
    driver.mState.mLinks[id].mId = id;
  }
  driver.Send(1, StatementKind::SetValue, "a", std::string(20'000, 'v'));
  driver.Send(1, StatementKind::Read);
  const auto read = driver.NextStatement();
  REQUIRE(read);
  driver.Reply(*read);
  const auto reset = driver.Take<SendOnLink>();
  REQUIRE(reset);
  CHECK(reset->mRequest.mVerb == BackendVerb::Reset);
}
