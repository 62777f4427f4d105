#include <catch2/catch.hpp>

#include "Gateway/Tuning.h"
#include "GatewayDriver.h"
#include "Promotions.h"

using namespace camphorstep;
using namespace camphorstep::gateway;

namespace {

/// Replaces a server by one with another name at its address, which has its
/// state and is listed after it.
void
RestartUnderOtherName(GatewayDriver& aDriver,
                      const std::string& aName,
                      const std::string& aNewName)
{
  aDriver.mServers.push_back(aDriver.Server(aName));
  aDriver.mServers.back().mName = aNewName;
  aDriver.mServers.back().mDown = false;
  aDriver.Server(aName).mDown = true;
  ServerEntry entry = aDriver.mState.mBackends.at(IdOf<ServerId>(aName)).mEntry;
  entry.mName = aNewName;
  ++entry.mStartedAt;
  TableProgress& table = aDriver.mState.mCatalogue.mTables.at(1);
  table.mCall = gateway::CallId{ ++aDriver.mState.mLastId };
  TableAnswer answer;
  answer.mCall = table.mCall;
  answer.mTable = Table::Servers;
  answer.mOutcome = CallOutcome::Ok;
  answer.mVersion = ++aDriver.mStoreVersion;
  answer.mServers.push_back({ aNewName, entry });
  aDriver.Deliver(answer);
}

}

TEST_CASE(
  "A silent primary is replaced by the replica with the latest position",
  "[Takeover]")
{
  GatewayDriver driver;
  driver.Server("s2").mIndex = 101;
  driver.Server("s3").mIndex = 107;
  driver.Server("s1").mDown = true;
  const auto promotion = RunUntilPromotion(driver, 4s);
  REQUIRE(promotion);
  CHECK(promotion->mServer == "s3");
  CHECK(promotion->mHolder == "h1");
  CHECK(promotion->mToken == 1);
  CHECK(driver.Server("s2").mPauseTerm != 0);
  CHECK(driver.Server("s3").mPauseTerm != 0);
  driver.Deliver(PromoteAnswered{ promotion->mCall, CallOutcome::Ok });
  driver.Server("s3").mPrimary = true;
  driver.Server("s3").mTerm = 2;
  driver.Server("s3").mPauseTerm = 0;
  driver.Run(500ms);
  CHECK(driver.Server("s2").mPauseTerm == 0);
  CHECK(driver.mState.mCounters.mPromotions == 1);
}

TEST_CASE("A new primary that has written nothing yet is kept", "[Takeover]")
{
  GatewayDriver driver;
  driver.Server("s1").mDown = true;
  const auto promotion = RunUntilPromotion(driver, 4s);
  REQUIRE(promotion);
  driver.Deliver(PromoteAnswered{ promotion->mCall, CallOutcome::Ok });
  GatewayDriver::FakeServer& successor = driver.Server(promotion->mServer);
  successor.mPrimary = true;
  successor.mTerm = 2;
  successor.mPauseTerm = 0;
  CHECK_FALSE(RunUntilPromotion(driver, 5s));
}

TEST_CASE("A primary whose writes reach no replica is replaced", "[Takeover]")
{
  GatewayDriver driver;
  driver.Server("s1").mIndex = 110;
  const auto promotion = RunUntilPromotion(driver, 5s);
  REQUIRE(promotion);
  CHECK_FALSE(driver.Server("s1").mPrimary);
}

TEST_CASE("A promotion waits until all evidence has expired", "[Takeover]")
{
  GatewayDriver driver;
  driver.Server("s1").mDown = true;
  Instant pausedAt{};
  driver.mReadsServers = true;
  for (int n = 0; n < 400 && !driver.Take<PromoteServer>(); ++n) {
    driver.Run(10ms);
    const bool paused = driver.Server("s2").mPauseTerm != 0 &&
                        driver.Server("s3").mPauseTerm != 0;
    if (paused && pausedAt == Instant{}) {
      pausedAt = driver.mNow;
    }
  }
  REQUIRE(pausedAt != Instant{});
  CHECK(driver.mNow - pausedAt >= kEvidenceTimeout);
}

TEST_CASE("No replica is promoted while another cannot be reached",
          "[Takeover]")
{
  GatewayDriver driver;
  driver.Server("s1").mDown = true;
  driver.Server("s2").mDown = true;
  // s2 may hold the only copy of an acknowledged write.
  CHECK_FALSE(RunUntilPromotion(driver, 8s));
}

TEST_CASE("A pause that is lost before the promotion is renewed", "[Takeover]")
{
  GatewayDriver driver;
  driver.Server("s1").mDown = true;
  while (driver.Server("s2").mPauseTerm == 0 ||
         driver.Server("s3").mPauseTerm == 0) {
    driver.Run(10ms);
  }
  driver.Run(kEvidenceTimeout - 100ms);
  driver.Server("s2").mPauseTerm = 0;
  const auto promotion = RunUntilPromotion(driver, 4s);
  REQUIRE(promotion);
  CHECK(driver.Server("s2").mPauseTerm != 0);
}

TEST_CASE("A server that joins while the primary is replaced is paused too",
          "[Takeover]")
{
  // Guards against promotions that lose what was acknowledged through a server
  // that the promoter had not heard of.
  GatewayDriver driver;
  driver.Server("s1").mDown = true;
  while (driver.Server("s2").mPauseTerm == 0 ||
         driver.Server("s3").mPauseTerm == 0) {
    driver.Run(10ms);
  }
  // The store has not answered since the servers were paused.
  driver.Run(kEvidenceTimeout + 500ms);
  REQUIRE_FALSE(driver.Take<PromoteServer>());
  GatewayDriver::FakeServer joined = driver.Server("s2");
  joined.mName = "s4";
  joined.mPauseTerm = 0;
  joined.mIndex += 5;
  driver.mServers.push_back(joined);
  ServerEntry entry = driver.mState.mBackends.at(IdOf<ServerId>("s2")).mEntry;
  entry.mName = "s4";
  entry.mAddress.mIp = "10.0.1.4";
  driver.mServerChanges.push_back({ "s4", entry });
  const auto promotion = RunUntilPromotion(driver, 8s);
  REQUIRE(promotion);
  CHECK(promotion->mServer == "s4");
  CHECK(driver.Server("s4").mPauseTerm != 0);
}

TEST_CASE("A host without the lease promotes no server", "[Takeover]")
{
  GatewayDriver driver;
  driver.mState.mPromoter.mHeldUntil = Instant{};
  driver.mState.mTimers.Cancel(TimerKind::PromoterLease, 0);
  driver.Server("s1").mDown = true;
  CHECK_FALSE(RunUntilPromotion(driver, 4s));
  CHECK(driver.Server("s2").mPauseTerm == 0);
}

TEST_CASE("A promoter stops when its lease has expired", "[Takeover]")
{
  GatewayDriver driver;
  driver.Server("s1").mDown = true;
  while (driver.Server("s2").mPauseTerm == 0) {
    driver.Run(10ms);
  }
  driver.mState.mPromoter.mHeldUntil = driver.mNow;
  driver.mState.mTimers.Cancel(TimerKind::PromoterLease, 0);
  CHECK_FALSE(RunUntilPromotion(driver, 4s));
}

TEST_CASE("A new promoter completes the promotion of a paused group",
          "[Takeover]")
{
  GatewayDriver driver;
  driver.Server("s2").mPauseTerm = 77;
  driver.Server("s3").mPauseTerm = 77;
  const auto promotion = RunUntilPromotion(driver, 4s);
  REQUIRE(promotion);
  CHECK(promotion->mServer != "s1");
}

TEST_CASE("A single paused replica is resumed", "[Takeover]")
{
  GatewayDriver driver;
  driver.Server("s2").mPauseTerm = 77;
  driver.Run(1s);
  CHECK(driver.Server("s2").mPauseTerm == 0);
}

TEST_CASE("A primary of an older term is made to step down", "[Takeover]")
{
  GatewayDriver driver;
  driver.Server("s3").mPrimary = true;
  driver.Server("s3").mTerm = 2;
  driver.Run(1s);
  CHECK_FALSE(driver.Server("s1").mPrimary);
  CHECK(driver.mState.mGroups.begin()->second.mPrimary == IdOf<ServerId>("s3"));
}

TEST_CASE("The lease is renewed by its holder and released at a stop",
          "[Promoter]")
{
  GatewayDriver driver;
  CHECK(driver.mState.mPromoter.mLease.mHolder == "h1");
  const std::uint64_t token = driver.mState.mPromoter.mLease.mToken;
  driver.Run(20s);
  CHECK(driver.mState.mPromoter.mLease.mToken == token);
  CHECK(driver.mNow < driver.mState.mPromoter.mHeldUntil);
  driver.Deliver(StopRequested{});
  const auto release = driver.Take<WriteLease>();
  REQUIRE(release);
  CHECK(release->mLease.mHolder.empty());
  CHECK(driver.mNow >= driver.mState.mPromoter.mHeldUntil);
}

TEST_CASE("An order to promote is given up before its sender's lease ends",
          "[Takeover]")
{
  // Guards against orders that reach the platform after those of the next
  // holder.
  GatewayDriver driver;
  driver.Server("s1").mDown = true;
  for (int n = 0; n < 200 && driver.mStoredRecords[0].mRetiredTerm == 0; ++n) {
    driver.Run(10ms);
  }
  // No renewal succeeds between the record of the term, which is written with
  // the lease, and the order.
  driver.mState.mPromoter.mHeldUntil = driver.mNow + 2'000ms;
  driver.mState.mTimers.Cancel(TimerKind::PromoterLease, 0);
  const auto promotion = RunUntilPromotion(driver, 4s);
  REQUIRE(promotion);
  CHECK(promotion->mExpiresAt == driver.mState.mPromoter.mHeldUntil);
}

TEST_CASE("An order of unknown outcome has no successor before its effect",
          "[Takeover]")
{
  // Guards against a second order, for another server, that takes effect after
  // writes were acknowledged by the server of the first one.
  GatewayDriver driver;
  driver.Server("s1").mIndex = 110;
  driver.Server("s2").mIndex = 108;
  driver.Server("s3").mIndex = 107;
  const auto first = RunUntilPromotion(driver, 6s);
  REQUIRE(first);
  // The candidate is cut from the promoter, not from the platform.
  driver.Server(first->mServer).mDown = true;
  driver.Run(kPromoteTimeout);
  driver.Deliver(PromoteAnswered{ first->mCall, CallOutcome::Unknown });
  CHECK_FALSE(RunUntilPromotion(driver, kEvidenceTimeout - 50ms));
}

TEST_CASE("No token is claimed while an order to promote is underway",
          "[Promoter]")
{
  // Guards against an order with the former token that arrives after one with
  // the token of the store's new era.
  GatewayDriver driver;
  driver.Server("s1").mDown = true;
  const auto order = RunUntilPromotion(driver, 4s);
  REQUIRE(order);
  while (driver.Take<WriteLease>()) {
  }
  TableProgress& table = driver.mState.mCatalogue.mTables.at(2);
  table.mCall = gateway::CallId{ ++driver.mState.mLastId };
  driver.mState.mPromoter.mCall = gateway::CallId{};
  TableAnswer answer;
  answer.mCall = table.mCall;
  answer.mTable = Table::Fleet;
  answer.mOutcome = CallOutcome::Ok;
  answer.mIsSnapshot = true;
  answer.mVersion = MakeStoreVersion(1, 5);
  answer.mStoreTime = driver.mNow.time_since_epoch();
  for (const auto& [name, host] : driver.mState.mCatalogue.mHosts) {
    answer.mHosts.push_back({ name, host });
  }
  driver.Deliver(answer);
  driver.AdvanceTime(400ms);
  CHECK_FALSE(driver.Take<WriteLease>());
}

TEST_CASE("The lease is not released while an order to promote is underway",
          "[Promoter]")
{
  // Guards against a next holder whose orders overtake the one underway.
  GatewayDriver driver;
  driver.Server("s1").mDown = true;
  const auto promotion = RunUntilPromotion(driver, 4s);
  REQUIRE(promotion);
  while (driver.Take<WriteLease>()) {
  }
  driver.Deliver(StopRequested{});
  driver.AdvanceTime(500ms);
  CHECK_FALSE(driver.Take<WriteLease>());
  driver.Deliver(PromoteAnswered{ promotion->mCall, CallOutcome::Unknown });
  driver.AdvanceTime(500ms);
  const auto release = driver.Take<WriteLease>();
  REQUIRE(release);
  CHECK(release->mLease.mHolder.empty());
}

TEST_CASE("A lease that another host renews is not taken", "[Promoter]")
{
  GatewayDriver driver;
  driver.mState.mPromoter.mHeldUntil = Instant{};
  driver.mState.mPromoter.mCall = gateway::CallId{};
  for (std::uint64_t n = 0; n < 10; ++n) {
    TableAnswer answer;
    answer.mCall = driver.mState.mCatalogue.mTables[2].mCall;
    answer.mTable = Table::Fleet;
    answer.mOutcome = CallOutcome::Ok;
    answer.mStoreTime = driver.mNow.time_since_epoch();
    answer.mLease = PromoterLease{ "h2", 9, 5, 1000 + n };
    driver.Deliver(answer);
    CHECK_FALSE(driver.Take<WriteLease>());
    driver.Run(2s);
  }
  CHECK(driver.mState.mPromoter.mLease.mHolder == "h2");
  // From here on the lease is not renewed.
  driver.Run(kPromoterLeaseDuration + 1s);
  CHECK(driver.mState.mPromoter.mLease.mHolder == "h1");
  CHECK(driver.mState.mPromoter.mLease.mToken == 6);
}

TEST_CASE("A promoter that was stalled does not treat the primary as silent",
          "[Takeover]")
{
  GatewayDriver driver;
  driver.Run(500ms);
  driver.mNow += 1500ms;
  CHECK_FALSE(RunUntilPromotion(driver, 4s));
  CHECK(driver.Server("s1").mPrimary);
  SECTION("but detects a primary that is")
  {
    driver.Server("s1").mDown = true;
    driver.mNow += 1500ms;
    CHECK(RunUntilPromotion(driver, 4s));
  }
}

TEST_CASE("A primary that answers again before its replicas are paused is kept",
          "[Takeover]")
{
  GatewayDriver driver;
  const Group& group = driver.mState.mGroups.begin()->second;
  SECTION("when all servers were silent")
  {
    for (GatewayDriver::FakeServer& server : driver.mServers) {
      server.mDown = true;
    }
  }
  SECTION("when one replica does not return")
  {
    driver.Server("s2").mDown = true;
    driver.Run(3s);
    driver.Server("s1").mDown = true;
    driver.Server("s3").mDown = true;
  }
  driver.Run(kPrimarySilenceTimeout + 200ms);
  REQUIRE(group.mTakeover.mPhase == TakeoverPhase::Fencing);
  driver.Server("s1").mDown = false;
  driver.Server("s3").mDown = false;
  CHECK_FALSE(RunUntilPromotion(driver, 5s));
  CHECK(group.mTakeover.mPhase == TakeoverPhase::None);
  CHECK(driver.Server("s1").mPrimary);
  CHECK(driver.Server("s2").mPauseTerm == 0);
  CHECK(driver.Server("s3").mPauseTerm == 0);
}

TEST_CASE("A primary that returns after a promotion was requested is replaced",
          "[Takeover]")
{
  GatewayDriver driver;
  driver.Server("s1").mDown = true;
  SECTION("by this promoter")
  {
    const auto promotion = RunUntilPromotion(driver, 4s);
    REQUIRE(promotion);
    // The order may still be carried out.
    driver.Deliver(PromoteAnswered{ promotion->mCall, CallOutcome::Conflict });
  }
  SECTION("by an earlier one")
  {
    driver.Server("s2").mDown = true;
    driver.Server("s3").mPauseTerm = 1;
    driver.mState.mPromoter.mFirstToken =
      ++driver.mState.mPromoter.mLease.mToken;
    driver.mState.mPromoter.mHeldSince = driver.mNow;
    driver.Run(kPrimarySilenceTimeout + 200ms);
    REQUIRE(driver.mState.mGroups.begin()->second.mTakeover.mPhase !=
            TakeoverPhase::None);
  }
  driver.Server("s1").mDown = false;
  driver.Run(300ms);
  CHECK_FALSE(driver.Server("s1").mPrimary);
  CHECK(RunUntilPromotion(driver, 4s));
}

TEST_CASE("A primary that returns under another name is kept", "[Takeover]")
{
  GatewayDriver driver;
  // Without it nobody can be promoted.
  driver.Server("s2").mDown = true;
  driver.Server("s1").mDown = true;
  driver.Run(kPrimarySilenceTimeout + 1s);
  const Group& group = driver.mState.mGroups.begin()->second;
  REQUIRE(group.mTakeover.mPhase == TakeoverPhase::Fencing);
  RestartUnderOtherName(driver, "s1", "s4");
  driver.Run(1s);
  CHECK(driver.Server("s4").mPrimary);
  CHECK(group.mPrimary == IdOf<ServerId>("s4"));
  CHECK(group.mTakeover.mPhase == TakeoverPhase::None);
  CHECK(driver.Server("s3").mPauseTerm == 0);
}

TEST_CASE("A server that restarted under another name counts once",
          "[Takeover]")
{
  GatewayDriver driver;
  RestartUnderOtherName(driver, "s2", "s4");
  driver.Run(1s);
  const Group& group = driver.mState.mGroups.begin()->second;
  CHECK(group.mServers.size() == 3);
  driver.Server("s1").mDown = true;
  CHECK(RunUntilPromotion(driver, 4s));
}

namespace {

/// Returns the name of the replica that is not to be promoted.
std::string
OtherReplica(const PromoteServer& aPromotion)
{
  return aPromotion.mServer == "s2" ? "s3" : "s2";
}

/// Has the old primary and a replica, which is no longer paused after its
/// restart, acknowledge writes that the other replica does not receive.
void
AcknowledgeThrough(GatewayDriver& aDriver, const std::string& aReplica)
{
  aDriver.Server("s1").mDown = false;
  aDriver.Server("s1").mIndex = 110;
  aDriver.Server(aReplica).mPauseTerm = 0;
  aDriver.Server(aReplica).mIndex = 110;
}

}

TEST_CASE("A promotion that was not carried out is not requested again "
          "without a new fence",
          "[Takeover]")
{
  // Guards against promoting a replica that lacks writes which were
  // acknowledged between two requests.
  GatewayDriver driver;
  driver.Server("s1").mDown = true;
  const auto promotion = RunUntilPromotion(driver, 4s);
  REQUIRE(promotion);
  SECTION("when the platform had refused it")
  {
    driver.Deliver(PromoteAnswered{ promotion->mCall, CallOutcome::Refused });
    AcknowledgeThrough(driver, OtherReplica(*promotion));
  }
  SECTION("when its answer was still awaited")
  {
    AcknowledgeThrough(driver, OtherReplica(*promotion));
    driver.Run(300ms);
    CHECK_FALSE(driver.Server("s1").mPrimary);
    driver.Deliver(PromoteAnswered{ promotion->mCall, CallOutcome::Unknown });
  }
  const Instant unpausedAt = driver.mNow;
  const auto second = RunUntilPromotion(driver, 5s);
  REQUIRE(second);
  CHECK(second->mServer != promotion->mServer);
  CHECK(driver.mNow - unpausedAt >= kEvidenceTimeout);
  CHECK(driver.Server(OtherReplica(*promotion)).mPauseTerm != 0);
  CHECK_FALSE(driver.Server("s1").mPrimary);
}

TEST_CASE("A promotion that was refused is requested again under its fence",
          "[Takeover]")
{
  GatewayDriver driver;
  driver.Server("s1").mDown = true;
  const auto promotion = RunUntilPromotion(driver, 4s);
  REQUIRE(promotion);
  driver.Deliver(PromoteAnswered{ promotion->mCall, CallOutcome::Refused });
  const Instant refusedAt = driver.mNow;
  const auto second = RunUntilPromotion(driver, 2s);
  REQUIRE(second);
  CHECK(second->mServer == promotion->mServer);
  CHECK(driver.mNow - refusedAt >= kPromoteRetryDelay);
  CHECK(driver.mNow - refusedAt < kEvidenceTimeout);
}

TEST_CASE("A promotion that took effect without an answer is kept",
          "[Takeover]")
{
  // Guards against having the new primary step down.
  GatewayDriver driver;
  driver.Server("s1").mDown = true;
  const auto promotion = RunUntilPromotion(driver, 4s);
  REQUIRE(promotion);
  GatewayDriver::FakeServer& successor = driver.Server(promotion->mServer);
  successor.mPrimary = true;
  successor.mTerm = 2;
  successor.mPauseTerm = 0;
  driver.Run(300ms);
  driver.Deliver(PromoteAnswered{ promotion->mCall, CallOutcome::Unknown });
  CHECK_FALSE(RunUntilPromotion(driver, 5s));
  CHECK(successor.mPrimary);
  CHECK(driver.Server(OtherReplica(*promotion)).mPauseTerm == 0);
  CHECK(driver.mState.mCounters.mPromotions == 1);
}

TEST_CASE("A new promoter counts a primary's silence from its own start",
          "[Takeover]")
{
  // Guards against replacing a primary that was not asked anything.
  GatewayDriver driver;
  PromoterState& promoter = driver.mState.mPromoter;
  promoter.mHeldUntil = Instant{};
  promoter.mLease.mHolder = "";
  promoter.mLease.mToken += 5;
  driver.mState.mCatalogue.mTables.at(2).mCall = gateway::CallId{};
  for (auto& [id, backend] : driver.mState.mBackends) {
    backend.mLastReceivedAt = driver.mNow - 10s;
  }
  SECTION("and keeps one that answers")
  {
    CHECK_FALSE(RunUntilPromotion(driver, 5s));
    CHECK(driver.Server("s1").mPrimary);
    CHECK(driver.Server("s2").mPauseTerm == 0);
  }
  SECTION("and replaces one that does not")
  {
    driver.Server("s1").mDown = true;
    CHECK(RunUntilPromotion(driver, 5s));
  }
}
