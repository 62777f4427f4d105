#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "Follower.h"
#include "Gateway/Tuning.h"
#include "Promotions.h"
#include "Shell/GatewayMetrics.h"

using namespace camphorstep;
using namespace camphorstep::gateway;
using namespace std::chrono_literals;

namespace {

/// Removes the log records, and returns those of an event.
std::vector<WriteLogRecord>
TakeRecords(GatewayDriver& aDriver, const std::string& aEvent)
{
  std::vector<WriteLogRecord> found;
  while (const auto record = aDriver.Take<WriteLogRecord>()) {
    if (record->mEvent == aEvent) {
      found.push_back(*record);
    }
  }
  return found;
}

/// Removes the log records, and returns the only one of an event.
WriteLogRecord
TakeRecord(GatewayDriver& aDriver, const std::string& aEvent)
{
  const std::vector<WriteLogRecord> found = TakeRecords(aDriver, aEvent);
  REQUIRE(found.size() == 1);
  return found.front();
}

/// The text of a field; "(none)" if the record lacks it.
std::string
FieldOf(const WriteLogRecord& aRecord, const std::string& aName)
{
  for (const LogValue& value : aRecord.mValues) {
    if (value.mName == aName) {
      return value.mValue;
    }
  }
  return "(none)";
}

std::string
MillisecondsOf(Duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

/// Has the primary fail, and runs until an order to replace it is given.
PromoteServer
OrderPromotion(GatewayDriver& aDriver)
{
  aDriver.Server("s1").mDown = true;
  const auto promotion = RunUntilPromotion(aDriver, 4s);
  REQUIRE(promotion);
  return *promotion;
}

/// Whether the text of the metrics has a line.
bool
HasMetric(const GatewayDriver& aDriver, const std::string& aLine)
{
  return MetricsText(aDriver.mState).find(aLine + "\n") != std::string::npos;
}

/// Has the platform carry out an order.
void
Promote(GatewayDriver& aDriver, const std::string& aServer)
{
  GatewayDriver::FakeServer& server = aDriver.Server(aServer);
  server.mPrimary = true;
  server.mTerm = 2;
  server.mPauseTerm = 0;
}

/// Begins a transaction and writes in it.
void
WriteInTransaction(GatewayDriver& aDriver, std::uint64_t aSession)
{
  aDriver.OpenSession(aSession, "main");
  aDriver.Send(aSession, StatementKind::Begin);
  REQUIRE(aDriver.Answer());
  aDriver.Send(aSession, StatementKind::Write);
  for (int n = 0; n < 2; ++n) {
    const auto request = aDriver.NextStatement();
    REQUIRE(request);
    aDriver.Reply(*request, ResultCode::Ok, TransactionState::Open);
  }
  REQUIRE(aDriver.Answer());
}

}

TEST_CASE("An order to promote is logged with what it rests on",
          "[TakeoverLog]")
{
  GatewayDriver driver;
  driver.Server("s2").mIndex = 101;
  driver.Server("s3").mIndex = 107;
  const PromoteServer order = OrderPromotion(driver);
  const auto record =
    TakeRecord(driver, "asking the platform to promote a server");
  CHECK(FieldOf(record, "group") == "group");
  CHECK(FieldOf(record, "server") == "s3");
  CHECK(FieldOf(record, "received") == "1.107");
  CHECK(FieldOf(record, "fencing_token") == "1");
  CHECK(FieldOf(record, "order") == std::to_string(order.mCall.mValue));
  CHECK(FieldOf(record, "term") == "1");
  CHECK(FieldOf(record, "fence_term") == "2");
  CHECK(FieldOf(record, "copies") == "3");
  CHECK(FieldOf(record, "paused") == "2");
  CHECK(FieldOf(record, "list_version") ==
        std::to_string(driver.mState.mCatalogue.mTables.at(1).mVersion));
  CHECK(std::stoi(FieldOf(record, "list_age_ms")) <= 1000);
  CHECK(std::stoi(FieldOf(record, "since_start_ms")) >= 1000);
  // The order is the newest effect of the step, up to 10 ms ago.
  const int left = std::stoi(FieldOf(record, "lease_left_ms"));
  const int leftNow =
    std::stoi(MillisecondsOf(driver.mState.mPromoter.mHeldUntil - driver.mNow));
  CHECK(left >= leftNow);
  CHECK(left <= leftNow + 10);
  const int expiry = std::stoi(MillisecondsOf(order.mExpiresAt - driver.mNow));
  CHECK(std::stoi(FieldOf(record, "expires_in_ms")) >= expiry);
  CHECK(std::stoi(FieldOf(record, "expires_in_ms")) <= expiry + 10);
  const std::string statuses = FieldOf(record, "statuses");
  CHECK(statuses.starts_with("s1 1.100 primary age "));
  CHECK(statuses.find("; s2 1.101 pause 2 age ") != std::string::npos);
  CHECK(statuses.find("; s3 1.107 pause 2 age ") != std::string::npos);
  CHECK(driver.mState.mCounters.mPromotionOrders == 1);
  CHECK(HasMetric(driver, "camphorstep_promotion_orders_total 1"));
}

TEST_CASE("The statuses in the log name copies on servers that are not listed",
          "[TakeoverLog]")
{
  GatewayDriver driver;
  Group& group = driver.mState.mGroups.begin()->second;
  FormerCopy former{ { "s9", { "10.0.1.9", 5000 }, 1 }, driver.mNow };
  former.mIsAnswering = true;
  group.mFormerCopies.push_back(former);
  // A primary whose writes reach no replica is paused and can be promoted.
  driver.Server("s1").mIndex = 110;
  REQUIRE(RunUntilPromotion(driver, 6s));
  const auto record =
    TakeRecord(driver, "asking the platform to promote a server");
  CHECK(FieldOf(record, "copies") == "4");
  CHECK(FieldOf(record, "paused") == "3");
  CHECK(FieldOf(record, "statuses").ends_with("; s9 not listed"));
}

TEST_CASE("The outcome of an order to promote is logged", "[TakeoverLog]")
{
  GatewayDriver driver;
  const PromoteServer order = OrderPromotion(driver);
  const std::string id = std::to_string(order.mCall.mValue);
  TakeRecords(driver, "");
  driver.AdvanceTime(200ms);
  SECTION("if the server is promoted")
  {
    driver.Deliver(PromoteAnswered{ order.mCall, CallOutcome::Ok });
    const auto record =
      TakeRecord(driver, "the platform has promoted the server");
    CHECK(FieldOf(record, "order") == id);
    CHECK(FieldOf(record, "fencing_token") == "1");
    CHECK(FieldOf(record, "outcome") == "promoted");
    Promote(driver, order.mServer);
    driver.Run(500ms);
    const auto replaced = TakeRecord(driver, "primary is replaced");
    CHECK(FieldOf(replaced, "order") == id);
    CHECK(
      FieldOf(replaced, "statuses").find(order.mServer + " 2.100 primary") !=
      std::string::npos);
    CHECK(HasMetric(driver, "camphorstep_promotion_orders_unanswered_total 0"));
  }
  SECTION("if there is no clear answer")
  {
    driver.Deliver(PromoteAnswered{ order.mCall, CallOutcome::Unknown });
    const auto record =
      TakeRecord(driver, "the platform did not promote the server");
    CHECK(FieldOf(record, "group") == "group");
    CHECK(FieldOf(record, "order") == id);
    CHECK(FieldOf(record, "fencing_token") == "1");
    CHECK(FieldOf(record, "outcome") == "not confirmed");
    CHECK(std::stoi(FieldOf(record, "took_ms")) >= 200);
    CHECK(FieldOf(record, "lease_left_ms") ==
          MillisecondsOf(driver.mState.mPromoter.mHeldUntil - driver.mNow));
    CHECK(HasMetric(driver, "camphorstep_promotion_orders_unanswered_total 1"));
  }
  SECTION("if the platform refuses it")
  {
    driver.Deliver(PromoteAnswered{ order.mCall, CallOutcome::Refused });
    const auto record =
      TakeRecord(driver, "the platform did not promote the server");
    CHECK(FieldOf(record, "outcome") == "refused");
  }
  SECTION("if its effect is seen first")
  {
    Promote(driver, order.mServer);
    driver.Run(50ms);
    driver.Deliver(PromoteAnswered{ order.mCall, CallOutcome::Ok });
    const auto record = TakeRecord(
      driver, "an order to promote has ended that is not waited for");
    CHECK(FieldOf(record, "order") == id);
    CHECK(FieldOf(record, "outcome") == "promoted");
  }
  SECTION("if the lease has ended")
  {
    driver.mState.mTimers.Cancel(TimerKind::PromoterLease, 0);
    driver.mState.mPromoter.mHeldUntil = driver.mNow;
    driver.Run(200ms);
    const auto left =
      TakeRecord(driver, "change of primary left to the next promoter");
    CHECK(FieldOf(left, "order") == id);
    CHECK(FieldOf(left, "answered") == "no");
    CHECK(FieldOf(left, "term") == "1");
    driver.Deliver(PromoteAnswered{ order.mCall, CallOutcome::Unknown });
    const auto record = TakeRecord(
      driver, "an order to promote has ended that is not waited for");
    CHECK(FieldOf(record, "order") == id);
    CHECK(FieldOf(record, "outcome") == "not confirmed");
    CHECK(FieldOf(record, "lease_left_ms") == "0");
    CHECK(driver.mState.mCounters.mOrdersUnanswered == 1);
  }
}

TEST_CASE("The wait for the list of servers is logged once", "[TakeoverLog]")
{
  GatewayDriver driver;
  driver.Server("s1").mDown = true;
  // The store does not answer reads of the servers.
  driver.Run(5s);
  REQUIRE_FALSE(driver.Take<PromoteServer>());
  const auto record =
    TakeRecord(driver, "waiting for the list of servers before the promotion");
  CHECK(FieldOf(record, "group") == "group");
  CHECK(FieldOf(record, "term") == "1");
  CHECK(FieldOf(record, "list_version") ==
        std::to_string(driver.mState.mCatalogue.mTables.at(1).mVersion));
  CHECK(std::stoi(FieldOf(record, "list_age_ms")) >= 1000);
  CHECK(std::stoi(FieldOf(record, "since_start_ms")) >= 1000);
}

TEST_CASE("A server that is not paused is logged", "[TakeoverLog]")
{
  GatewayDriver driver;
  const PromoteServer order = OrderPromotion(driver);
  TakeRecords(driver, "");
  const std::string other = order.mServer == "s2" ? "s3" : "s2";
  driver.Server(other).mPauseTerm = 0;
  driver.Run(500ms);
  const auto record =
    TakeRecord(driver, "a server is not paused after the order to promote");
  CHECK(FieldOf(record, "group") == "group");
  CHECK(FieldOf(record, "term") == "1");
  CHECK(FieldOf(record, "order") == std::to_string(order.mCall.mValue));
  CHECK(std::stoi(FieldOf(record, "since_order_ms")) <= 500);
  CHECK(FieldOf(record, "statuses").find(other + " 1.100 age ") !=
        std::string::npos);
  driver.Deliver(PromoteAnswered{ order.mCall, CallOutcome::Refused });
  driver.Run(100ms);
  const auto restart = TakeRecord(
    driver, "a server was not paused before the promotion; pausing all again");
  CHECK(FieldOf(restart, "order") == std::to_string(order.mCall.mValue));
  CHECK(FieldOf(restart, "statuses").find(other + " 1.100 ") !=
        std::string::npos);
  CHECK(driver.mState.mCounters.mTakeoverRestarts == 1);
  CHECK(HasMetric(driver, "camphorstep_takeover_restarts_total 1"));
}

TEST_CASE("Writes of the lease are logged with token, version and era",
          "[TakeoverLog]")
{
  GatewayDriver driver;
  std::optional<WriteLease> write;
  while (!(write = driver.Take<WriteLease>())) {
    driver.AdvanceTime(10ms);
  }
  TakeRecords(driver, "");
  const std::uint64_t version = write->mLease.mRowVersion;
  SECTION("if a renewal is not written")
  {
    driver.Deliver(StoreWritten{ write->mCall, CallOutcome::Conflict });
    const auto record =
      TakeRecord(driver, "the promoter's lease was not written");
    CHECK(FieldOf(record, "write") == "renewal");
    CHECK(FieldOf(record, "holder") == "h1");
    CHECK(FieldOf(record, "fencing_token") == "1");
    CHECK(FieldOf(record, "row_version") == std::to_string(version));
    CHECK(FieldOf(record, "era") == "0");
    CHECK(FieldOf(record, "outcome") == "another host wrote it first");
    CHECK(FieldOf(record, "took_ms") == "0");
    CHECK(FieldOf(record, "lease_left_ms") ==
          MillisecondsOf(driver.mState.mPromoter.mHeldUntil - driver.mNow));
  }
  SECTION("but not if a renewal is written")
  {
    driver.Deliver(
      StoreWritten{ write->mCall, CallOutcome::Ok, version + 100 });
    CHECK_FALSE(driver.Take<WriteLogRecord>());
  }
  SECTION("if it is released")
  {
    driver.Deliver(
      StoreWritten{ write->mCall, CallOutcome::Ok, version + 100 });
    driver.Deliver(StopRequested{});
    const auto release = driver.Take<WriteLease>();
    REQUIRE(release);
    REQUIRE(release->mLease.mHolder.empty());
    driver.Deliver(
      StoreWritten{ release->mCall, CallOutcome::Ok, version + 101 });
    const auto record =
      TakeRecord(driver, "this host has released the promoter's lease");
    CHECK(FieldOf(record, "fencing_token") == "1");
    CHECK(FieldOf(record, "row_version") == std::to_string(version + 101));
    CHECK(FieldOf(record, "era") == "0");
  }
  SECTION("if a release is not written")
  {
    driver.Deliver(
      StoreWritten{ write->mCall, CallOutcome::Ok, version + 100 });
    driver.Deliver(StopRequested{});
    const auto release = driver.Take<WriteLease>();
    REQUIRE(release);
    driver.Deliver(StoreWritten{ release->mCall, CallOutcome::Unknown });
    const auto record =
      TakeRecord(driver, "the promoter's lease was not written");
    CHECK(FieldOf(record, "write") == "release");
    CHECK(FieldOf(record, "lease_left_ms") == "0");
  }
}

TEST_CASE("A change of the lease's holder is logged", "[TakeoverLog]")
{
  GatewayDriver driver;
  driver.mState.mPromoter.mHeldUntil = Instant{};
  driver.mState.mPromoter.mCall = gateway::CallId{};
  TakeRecords(driver, "");
  const StoreVersion version = MakeStoreVersion(0, 1000);
  TableAnswer answer;
  answer.mCall = driver.mState.mCatalogue.mTables[2].mCall;
  answer.mTable = Table::Fleet;
  answer.mOutcome = CallOutcome::Ok;
  answer.mStoreTime = driver.mNow.time_since_epoch();
  answer.mLease = PromoterLease{ "h2", 9, 5, version };
  driver.Deliver(answer);
  const auto changed =
    TakeRecord(driver, "the holder of the promoter's lease changed");
  CHECK(FieldOf(changed, "holder") == "h2");
  CHECK(FieldOf(changed, "fencing_token") == "5");
  CHECK(FieldOf(changed, "row_version") == "1000");
  CHECK(FieldOf(changed, "era") == "0");
  // The other host does not renew it.
  std::optional<WriteLease> claim;
  while (!(claim = driver.Take<WriteLease>())) {
    driver.AdvanceTime(10ms);
  }
  TakeRecords(driver, "");
  SECTION("and its claim")
  {
    driver.Deliver(StoreWritten{ claim->mCall, CallOutcome::Ok, 1001 });
    const auto record =
      TakeRecord(driver, "this host holds the promoter's lease");
    CHECK(FieldOf(record, "holder") == "h1");
    CHECK(FieldOf(record, "fencing_token") == "6");
    CHECK(FieldOf(record, "row_version") == "1001");
    CHECK(FieldOf(record, "era") == "0");
    CHECK(FieldOf(record, "lease_left_ms") ==
          MillisecondsOf(driver.mState.mPromoter.mHeldUntil - driver.mNow));
  }
  SECTION("and a claim that is not written")
  {
    driver.Deliver(StoreWritten{ claim->mCall, CallOutcome::Conflict });
    const auto record =
      TakeRecord(driver, "the promoter's lease was not written");
    CHECK(FieldOf(record, "write") == "claim");
    CHECK(FieldOf(record, "fencing_token") == "6");
    CHECK(FieldOf(record, "row_version") == "1000");
  }
  SECTION("and a claim that another host was before")
  {
    answer.mLease = PromoterLease{ "h3", 9, 6, 1001 };
    answer.mCall = driver.mState.mCatalogue.mTables[2].mCall;
    driver.Deliver(answer);
    driver.Deliver(StoreWritten{ claim->mCall, CallOutcome::Conflict });
    const auto record =
      TakeRecord(driver, "the promoter's lease was not written");
    CHECK(driver.mState.mPromoter.mLease.mHolder == "h3");
    CHECK(FieldOf(record, "write") == "claim");
  }
}

TEST_CASE("A replica that is no evidence after a pause is logged once",
          "[TakeoverLog]")
{
  GatewayDriver driver;
  const std::string event = "a replica is no evidence for the primary yet";
  for (int n = 0; n < 2; ++n) {
    driver.Server("s2").mPauseTerm = 77;
    driver.Run(1s);
    REQUIRE(driver.Server("s2").mPauseTerm == 0);
    const auto record = TakeRecord(driver, event);
    CHECK(FieldOf(record, "group") == "group");
    CHECK(FieldOf(record, "server") == "s2");
    CHECK(FieldOf(record, "reason") == "it was paused");
    CHECK(FieldOf(record, "term") == "1");
    CHECK(FieldOf(record, "received") == "1.100");
  }
}

TEST_CASE("A replica that has joined is logged once as no evidence",
          "[TakeoverLog]")
{
  GatewayDriver driver;
  GatewayDriver::FakeServer joined = driver.Server("s2");
  joined.mName = "s4";
  driver.mServers.push_back(joined);
  ServerEntry entry = driver.mState.mBackends.at(IdOf<ServerId>("s2")).mEntry;
  entry.mName = "s4";
  entry.mAddress.mIp = "10.0.1.4";
  driver.mServerChanges.push_back({ "s4", entry });
  driver.mReadsServers = true;
  driver.Run(2s);
  const auto record =
    TakeRecord(driver, "a replica is no evidence for the primary yet");
  CHECK(FieldOf(record, "server") == "s4");
  CHECK(FieldOf(record, "reason") == "it has joined");
}

TEST_CASE("The log tells why a commit's answer was not passed on",
          "[TakeoverLog]")
{
  Follower driver;
  driver.Follow(1s);
  WriteInTransaction(driver, 1);
  driver.Send(1, StatementKind::Commit);
  const auto commit = driver.NextStatement();
  REQUIRE(commit);
  SECTION("because its term has ended")
  {
    driver.mState.mGroups.begin()->second.mTerm = 2;
    driver.Reply(*commit);
    const auto record = TakeRecord(driver, "statement failed");
    CHECK(FieldOf(record, "reason") ==
          "another primary was promoted before the answer came");
    CHECK(HasMetric(driver,
                    "camphorstep_commits_withheld_total{reason=\"term "
                    "ended\"} 1"));
    CHECK(driver.mState.mCounters.mCommitsUnproved == 0);
  }
  SECTION("because there is no evidence for the primary")
  {
    driver.mNow += kEvidenceTimeout;
    driver.Reply(*commit);
    const auto record = TakeRecord(driver, "statement failed");
    CHECK(FieldOf(record, "reason") ==
          "another primary may have been promoted before the answer came");
    CHECK(HasMetric(driver,
                    "camphorstep_commits_withheld_total{reason=\"no "
                    "evidence\"} 1"));
    CHECK(driver.mState.mCounters.mCommitsOfEndedTerm == 0);
  }
}
