#include <array>
#include <map>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "Backend/OutlierDetection.h"
#include "Gateway/Tuning.h"
#include "GatewayDriver.h"

using namespace camphorstep;
using namespace camphorstep::gateway;
using namespace std::chrono_literals;

namespace {

constexpr Instant kNow{ 100s };

OutcomeRecord
RecordOf(int aServed, int aFailed)
{
  OutcomeRecord record;
  for (int n = 0; n < aServed; ++n) {
    RecordServed(record, kNow);
  }
  for (int n = 0; n < aFailed; ++n) {
    RecordFailed(record, kNow);
  }
  return record;
}

bool
IsEjected(const GatewayDriver& aDriver, const std::string& aServer)
{
  return aDriver.mState.mBackends.at(IdOf<ServerId>(aServer))
    .mOutcomes.mEjection.has_value();
}

/// Sends a read in a session of its own and answers it until a server has
/// served it or the caller has an answer. The given server fails it. Returns
/// how often each server was sent the read.
std::map<std::string, int>
ReadWithFailingServer(GatewayDriver& aDriver,
                      std::uint64_t aSession,
                      const std::string& aFailing)
{
  std::map<std::string, int> counts;
  aDriver.OpenSession(aSession, "near");
  aDriver.Send(aSession, StatementKind::Read);
  while (const auto sent = aDriver.NextStatement()) {
    const std::string server = aDriver.ServerOf(sent->mLink);
    ++counts[server];
    aDriver.Reply(
      *sent, server == aFailing ? ResultCode::StatementFailed : ResultCode::Ok);
    aDriver.AdvanceTime(10ms);
  }
  return counts;
}

/// Has a replica fail reads until it is ejected.
void
EjectServer(GatewayDriver& aDriver, const std::string& aServer)
{
  std::uint64_t session = 0;
  while (!IsEjected(aDriver, aServer) && session < 20) {
    ReadWithFailingServer(aDriver, ++session, aServer);
  }
  while (aDriver.Answer()) {
  }
}

}

TEST_CASE("A server that fails clearly more than the others is an outlier",
          "[OutlierDetection]")
{
  const std::array others{ RecordOf(10, 0), RecordOf(10, 1) };
  CHECK(IsOutlier(RecordOf(5, 3), others, kNow));
  // A single failure may be an accident.
  CHECK_FALSE(IsOutlier(RecordOf(5, 1), others, kNow));
  // Few callers notice.
  CHECK_FALSE(IsOutlier(RecordOf(100, 3), others, kNow));
  // The others do not fare much better.
  const std::array alike{ RecordOf(10, 3), RecordOf(10, 4) };
  CHECK_FALSE(IsOutlier(RecordOf(8, 3), alike, kNow));
}

TEST_CASE("Old failures do not count", "[OutlierDetection]")
{
  const std::array others{ RecordOf(10, 0) };
  const OutcomeRecord record = RecordOf(0, 3);
  CHECK(IsOutlier(record, others, kNow + 1s));
  CHECK_FALSE(IsOutlier(record, others, kNow + 60s));
}

TEST_CASE("Connections that are lost together count once", "[OutlierDetection]")
{
  OutcomeRecord record;
  for (int n = 0; n < 10; ++n) {
    RecordLost(record, kNow);
  }
  CHECK_FALSE(IsOutlier(record, {}, kNow));
  RecordLost(record, kNow + 200ms);
  CHECK(IsOutlier(record, {}, kNow + 200ms));
}

TEST_CASE("At least half of a group's servers are kept", "[OutlierDetection]")
{
  CHECK_FALSE(MayEject(1, 0));
  CHECK(MayEject(2, 0));
  CHECK_FALSE(MayEject(2, 1));
  CHECK(MayEject(3, 0));
  CHECK_FALSE(MayEject(3, 1));
  CHECK(MayEject(4, 1));
  CHECK_FALSE(MayEject(4, 2));
}

TEST_CASE("Trials come at growing intervals until they are served",
          "[OutlierDetection]")
{
  OutcomeRecord record = RecordOf(0, 3);
  Eject(record, kNow);
  Instant now = kNow;
  Duration former{ 0 };
  for (int n = 0; n < 4; ++n) {
    const Instant since = now;
    while (!IsTrialDue(record, now)) {
      now += 100ms;
    }
    CHECK(now - since > former);
    former = now - since;
    StartTrial(record, now);
    CHECK_FALSE(IsTrialDue(record, now));
    RecordFailed(record, now);
  }
  now += 8s;
  for (int n = 0; n < 3; ++n) {
    CHECK_FALSE(HasRecovered(record));
    REQUIRE(IsTrialDue(record, now));
    StartTrial(record, now);
    RecordServed(record, now);
  }
  CHECK(HasRecovered(record));
  Readmit(record, now);
  CHECK_FALSE(record.mEjection);
}

TEST_CASE("Statements sent before the ejection are no trials",
          "[OutlierDetection]")
{
  OutcomeRecord record = RecordOf(0, 3);
  Eject(record, kNow);
  for (int n = 0; n < 10; ++n) {
    RecordServed(record, kNow + 10ms);
  }
  CHECK_FALSE(HasRecovered(record));
}

// Load: a replica answers status requests and fails every statement.
TEST_CASE("Reads are served while a replica fails all of its statements",
          "[OutlierDetection]")
{
  GatewayDriver driver;
  constexpr std::uint64_t kReads = 30;
  std::map<std::string, int> sent;
  for (std::uint64_t n = 1; n <= kReads; ++n) {
    for (const auto& [server, count] : ReadWithFailingServer(driver, n, "s2")) {
      sent[server] += count;
    }
  }
  std::uint64_t served = 0;
  while (const auto answer = driver.Answer()) {
    served += answer->mCode == ResultCode::Ok ? 1 : 0;
  }
  CHECK(served == kReads);
  CHECK(IsEjected(driver, "s2"));
  CHECK(sent["s2"] <= 4);
  CHECK(driver.mState.mCounters.mEjections == 1);
}

TEST_CASE("An ejected replica that serves trials gets reads again",
          "[OutlierDetection]")
{
  GatewayDriver driver;
  EjectServer(driver, "s2");
  REQUIRE(IsEjected(driver, "s2"));
  for (std::uint64_t n = 100; n < 110 && IsEjected(driver, "s2"); ++n) {
    driver.Run(1s);
    ReadWithFailingServer(driver, n, "none");
  }
  CHECK_FALSE(IsEjected(driver, "s2"));
  CHECK(driver.mState.mCounters.mTrials >= 3);
  CHECK(ReadWithFailingServer(driver, 200, "none").contains("s2"));
}

TEST_CASE("An ejected replica serves reads that no other server may serve",
          "[OutlierDetection]")
{
  GatewayDriver driver;
  EjectServer(driver, "s2");
  REQUIRE(IsEjected(driver, "s2"));
  driver.Server("s1").mDown = true;
  driver.Server("s3").mDown = true;
  driver.Run(kEvidenceTimeout);
  driver.mState.mBackends.at(IdOf<ServerId>("s3")).mStatus.reset();
  driver.OpenSession(100, "near");
  driver.Send(100, StatementKind::Read);
  const auto read = driver.NextStatement();
  REQUIRE(read);
  CHECK(driver.ServerOf(read->mLink) == "s2");
}

TEST_CASE("The error of the second server is passed on", "[OutlierDetection]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "near");
  driver.Send(1, StatementKind::Read);
  const auto first = driver.NextStatement();
  REQUIRE(first);
  driver.Reply(*first, ResultCode::StatementFailed);
  CHECK_FALSE(driver.Answer());
  driver.AdvanceTime(10ms);
  const auto second = driver.NextStatement();
  REQUIRE(second);
  CHECK(driver.ServerOf(second->mLink) != driver.ServerOf(first->mLink));
  driver.Reply(*second, ResultCode::StatementFailed);
  CHECK(driver.Answer()->mCode == ResultCode::StatementFailed);
  driver.Run(200ms);
  CHECK_FALSE(driver.NextStatement());
  // The statement's own error says nothing of the servers.
  CHECK(driver.mState.mBackends.at(IdOf<ServerId>("s2")).mOutcomes.mFailed ==
        0);
}

TEST_CASE("A read that a server failed is not said to be not run",
          "[OutlierDetection]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "near");
  driver.Send(1, StatementKind::Read);
  driver.Reply(*driver.NextStatement(), ResultCode::StatementFailed);
  std::optional<gateway::AnswerCaller> answer;
  SECTION("when the second server refuses it until its deadline")
  {
    for (int n = 0; n < 20 && !answer; ++n) {
      driver.AdvanceTime(100ms);
      while (const auto sent = driver.NextStatement()) {
        driver.Reply(*sent, ResultCode::Overloaded);
      }
      answer = driver.Answer();
    }
  }
  SECTION("when the second connection is lost")
  {
    driver.AdvanceTime(10ms);
    const auto second = driver.NextStatement();
    REQUIRE(second);
    driver.BreakLink(second->mLink);
    driver.Run(50ms);
    answer = driver.Answer();
  }
  SECTION("when the second server is silent")
  {
    driver.AdvanceTime(10ms);
    REQUIRE(driver.NextStatement());
    driver.Run(1100ms);
    answer = driver.Answer();
  }
  REQUIRE(answer);
  CHECK(answer->mCode == ResultCode::StatementFailed);
}

TEST_CASE("The first read of a read-only transaction is sent elsewhere",
          "[OutlierDetection]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "near");
  driver.Send(1, StatementKind::BeginReadOnly);
  REQUIRE(driver.Answer());
  driver.Send(1, StatementKind::Read);
  const auto begin = driver.NextStatement();
  REQUIRE(begin);
  driver.Reply(*begin, ResultCode::Ok, TransactionState::Open);
  const auto read = driver.NextStatement();
  REQUIRE(read);
  driver.Reply(*read, ResultCode::StatementFailed, TransactionState::Failed);
  driver.AdvanceTime(10ms);
  const auto again = driver.NextStatement();
  REQUIRE(again);
  CHECK(again->mRequest.mVerb == BackendVerb::BeginReadOnly);
  CHECK(driver.ServerOf(again->mLink) != driver.ServerOf(begin->mLink));
  driver.Reply(*again, ResultCode::Ok, TransactionState::Open);
  const auto served = driver.NextStatement();
  REQUIRE(served);
  driver.Reply(*served, ResultCode::Ok, TransactionState::Open);
  CHECK(driver.Answer()->mCode == ResultCode::Ok);
  // What has been answered may not be mixed with reads of another server.
  driver.Send(1, StatementKind::Read);
  const auto later = driver.NextStatement();
  REQUIRE(later);
  driver.Reply(*later, ResultCode::StatementFailed, TransactionState::Failed);
  const auto answer = driver.Answer();
  REQUIRE(answer);
  CHECK(answer->mCode == ResultCode::StatementFailed);
  CHECK(answer->mState == TransactionState::Failed);
}

TEST_CASE("What may commit writes is never sent again after an error",
          "[OutlierDetection]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "own");
  SECTION("a write")
  {
    driver.Send(1, StatementKind::Write);
  }
  SECTION("a prepared write")
  {
    Statement prepare;
    prepare.mId = "p";
    prepare.mKind = StatementKind::Prepare;
    prepare.mName = "p";
    prepare.mArgument = "shape";
    prepare.mWrites = true;
    driver.Deliver(StatementReceived{ SessionId{ 1 }, prepare });
    REQUIRE(driver.Answer());
    driver.Send(1, StatementKind::Execute, "p", "item");
  }
  SECTION("a commit")
  {
    driver.Send(1, StatementKind::Begin);
    driver.Send(1, StatementKind::Write);
    driver.Reply(
      *driver.NextStatement(), ResultCode::Ok, TransactionState::Open);
    driver.Reply(
      *driver.NextStatement(), ResultCode::Ok, TransactionState::Open);
    driver.Send(1, StatementKind::Commit);
    while (driver.Answer()) {
    }
  }
  const auto sent = driver.NextStatement();
  REQUIRE(sent);
  driver.Reply(*sent, ResultCode::StatementFailed);
  CHECK(driver.Answer()->mCode == ResultCode::StatementFailed);
  driver.Run(200ms);
  CHECK_FALSE(driver.NextStatement());
}
