#include <catch2/catch.hpp>

#include "Gateway/Tuning.h"
#include "GatewayDriver.h"
#include "Promotions.h"

using namespace camphorstep;
using namespace camphorstep::gateway;
using namespace std::chrono_literals;

namespace {

/// Has a server report that it leaves.
void
Leave(GatewayDriver& aDriver, const std::string& aName)
{
  ServerEntry entry = aDriver.mState.mBackends.at(IdOf<ServerId>(aName)).mEntry;
  entry.mLeaving = true;
  aDriver.mServerChanges.push_back({ aName, entry });
  aDriver.mReadsServers = true;
}

/// Runs until a server does not lead any more. Returns whether a replica was
/// paused until then.
bool
IsPausedUntilStepDown(GatewayDriver& aDriver, const std::string& aName)
{
  bool isPaused = false;
  for (int n = 0; n < 300 && aDriver.Server(aName).mPrimary; ++n) {
    aDriver.Run(10ms);
    for (const GatewayDriver::FakeServer& server : aDriver.mServers) {
      isPaused |= server.mPauseTerm != 0;
    }
  }
  return isPaused;
}

const Group&
GroupOf(const GatewayDriver& aDriver)
{
  return aDriver.mState.mGroups.begin()->second;
}

}

TEST_CASE("A primary that leaves steps down while replicas receive its log",
          "[Handover]")
{
  // Guards against writes that were acknowledged through a server which is not
  // listed yet, and which no replica received after it was paused (LOST).
  GatewayDriver driver;
  Leave(driver, "s1");
  CHECK_FALSE(IsPausedUntilStepDown(driver, "s1"));
  REQUIRE_FALSE(driver.Server("s1").mPrimary);
  CHECK(driver.mStoredRecords.at(0).mRetiredTerm == 1);
  const Instant steppedDownAt = driver.mNow;
  const auto promotion = RunUntilPromotion(driver, 4s);
  REQUIRE(promotion);
  CHECK(promotion->mServer != "s1");
  // Other hosts may have evidence for the old primary until then.
  CHECK(driver.mNow >= steppedDownAt + kEvidenceTimeout);
  driver.Deliver(PromoteAnswered{ promotion->mCall, CallOutcome::Ok });
  driver.Server(promotion->mServer).mPrimary = true;
  for (GatewayDriver::FakeServer& server : driver.mServers) {
    server.mTerm = 2;
  }
  driver.Run(500ms);
  CHECK(driver.mState.mCounters.mPromotions == 1);
  CHECK(GroupOf(driver).mTakeover.mPhase == TakeoverPhase::None);
}

TEST_CASE("A replica that lacks a part of the primary's log is not promoted",
          "[Handover]")
{
  // Guards against a choice by the count of the copies: one that nobody counts
  // may have let the primary acknowledge the rest (LOST).
  GatewayDriver driver;
  driver.Server("s1").mIndex = 110;
  SECTION("in a handover")
  {
    Leave(driver, "s1");
  }
  SECTION("after the primary was silent")
  {
    driver.Server("s2").mDown = true;
    driver.Server("s1").mDown = true;
    driver.Run(kPrimarySilenceTimeout + 400ms);
    REQUIRE(GroupOf(driver).mTakeover.mPhase == TakeoverPhase::Fencing);
    driver.Server("s2").mDown = false;
    driver.Run(800ms);
    driver.Server("s1").mDown = false;
  }
  const auto promotion = RunUntilPromotion(driver, 6s);
  REQUIRE(promotion);
  CHECK(promotion->mServer == "s1");
}

TEST_CASE("Writes wait while the primary hands over, reads do not",
          "[Handover]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.OpenSession(2, "main");
  Leave(driver, "s1");
  for (int n = 0; n < 200 && driver.mStoredRecords.at(0).mRetiredTerm == 0;
       ++n) {
    driver.Run(10ms);
  }
  REQUIRE(driver.Server("s1").mPrimary);
  driver.Send(1, StatementKind::Write);
  CHECK_FALSE(driver.NextStatement());
  driver.Send(2, StatementKind::Read);
  CHECK(driver.NextStatement());
}

TEST_CASE("A primary that cannot hand over is replaced by a fence",
          "[Handover]")
{
  GatewayDriver driver;
  Leave(driver, "s1");
  SECTION("since it is silent")
  {
    for (int n = 0; n < 200 && driver.mStoredRecords.at(0).mRetiredTerm == 0;
         ++n) {
      driver.Run(10ms);
    }
    driver.Server("s1").mDown = true;
  }
  SECTION("since the order had no effect")
  {
    const auto first = RunUntilPromotion(driver, 4s);
    REQUIRE(first);
    CHECK(driver.Server("s2").mPauseTerm == 0);
    driver.Deliver(PromoteAnswered{ first->mCall, CallOutcome::Refused });
  }
  const auto promotion = RunUntilPromotion(driver, 6s);
  REQUIRE(promotion);
  CHECK(promotion->mServer != "s1");
  CHECK(driver.Server("s2").mPauseTerm != 0);
  CHECK(driver.Server("s3").mPauseTerm != 0);
}

TEST_CASE("A takeover waits for the entry of a server that may have joined",
          "[Handover]")
{
  // Guards against the loss of writes that a server has acknowledged which
  // joined a short time before and is not listed yet (LOST).
  GatewayDriver driver;
  driver.Server("s1").mDown = true;
  const Instant start = driver.mNow;
  SECTION("which replaces one that leaves")
  {
    Leave(driver, "s2");
    REQUIRE(RunUntilPromotion(driver, 8s));
    CHECK(driver.mNow - start >
          kPrimarySilenceTimeout + kEvidenceTimeout + 1'500ms);
  }
  SECTION("but not in a group that misses none")
  {
    REQUIRE(RunUntilPromotion(driver, 8s));
    CHECK(driver.mNow - start <
          kPrimarySilenceTimeout + kEvidenceTimeout + 600ms);
  }
}
