#include <catch2/catch.hpp>

#include "Gateway/Context.h"
#include "Gateway/Tuning.h"
#include "GatewayDriver.h"
#include "Group/Evidence.h"
#include "Group/RetiredTerms.h"
#include "Promotions.h"

using namespace camphorstep;
using namespace camphorstep::gateway;
using namespace std::chrono_literals;

namespace {

bool
HasConfirmedPrimary(GatewayDriver& aDriver)
{
  std::vector<gateway::Effect> effects;
  Context context{ aDriver.mState, aDriver.mNow, effects };
  return ConfirmedPrimary(context, aDriver.mState.mGroups.begin()->second) !=
         nullptr;
}

/// Has the host take the lease anew, after another promoter has retired a term.
void
RetakeLease(GatewayDriver& aDriver, Term aRetiredTerm)
{
  aDriver.mStoredRecords.at(0).mRetiredTerm = aRetiredTerm;
  PromoterState& promoter = aDriver.mState.mPromoter;
  promoter.mHeldUntil = Instant{};
  promoter.mLease.mHolder = "";
  promoter.mLease.mToken += 5;
  // The driver has dropped the call that was underway.
  aDriver.mState.mCatalogue.mTables.at(2).mCall = gateway::CallId{};
  // The process has just started: it has had no evidence.
  aDriver.mState.mGroups.begin()->second.mProvedTerm = 0;
  aDriver.Run(300ms);
}

}

TEST_CASE("A promotion is ordered only when the store has the term as retired",
          "[RetiredTerms]")
{
  // Guards against an order that nobody remembers when the promoter is gone
  // (ONE: a restarted promoter served the replaced primary).
  GatewayDriver driver;
  CHECK(driver.mStoredRecords.at(0).mRetiredTerm == 0);
  driver.Server("s1").mDown = true;
  const auto promotion = RunUntilPromotion(driver, 5s);
  REQUIRE(promotion);
  CHECK(driver.mStoredRecords.at(0).mRetiredTerm == 1);
}

TEST_CASE("A promoter replaces the primary of a term that another one retired",
          "[RetiredTerms]")
{
  // Guards against service by a primary that was replaced, after the promoter
  // that had ordered it was restarted while the new primary was away (ONE).
  GatewayDriver driver;
  REQUIRE(HasConfirmedPrimary(driver));
  driver.Server("s2").mDown = true;
  RetakeLease(driver, 1);
  CHECK_FALSE(HasConfirmedPrimary(driver));
  const auto promotion = RunUntilPromotion(driver, 5s);
  REQUIRE(promotion);
  CHECK_FALSE(HasConfirmedPrimary(driver));
}

TEST_CASE("An order of an earlier promoter that takes effect ends a takeover",
          "[RetiredTerms]")
{
  // Guards against a second change of primary right after the first one.
  GatewayDriver driver;
  RetakeLease(driver, 1);
  driver.Server("s1").mPrimary = false;
  driver.Server("s2").mPrimary = true;
  for (const char* const name : { "s1", "s2", "s3" }) {
    driver.Server(name).mTerm = 2;
    driver.Server(name).mPauseTerm = 0;
  }
  CHECK_FALSE(RunUntilPromotion(driver, 5s));
  CHECK(HasConfirmedPrimary(driver));
  CHECK(driver.Server("s3").mPauseTerm == 0);
}

TEST_CASE("The store's record names the terms before the newest as retired",
          "[RetiredTerms]")
{
  GatewayDriver driver;
  driver.Server("s1").mPrimary = false;
  driver.Server("s2").mPrimary = true;
  for (const char* const name : { "s1", "s2", "s3" }) {
    driver.Server(name).mTerm = 5;
  }
  driver.Run(2s);
  CHECK(driver.mStoredRecords.at(0).mRetiredTerm == 4);
}

TEST_CASE("A second order retires the term that the first one may have begun",
          "[RetiredTerms]")
{
  // Guards against service in a term that nobody had shown to the promoter when
  // it replaced it (ONE).
  GatewayDriver driver;
  driver.Server("s1").mDown = true;
  const auto first = RunUntilPromotion(driver, 5s);
  REQUIRE(first);
  driver.Deliver(PromoteAnswered{ first->mCall, CallOutcome::Ok });
  driver.Server("s1").mDown = false;
  SECTION("while its server is away")
  {
    driver.Server(first->mServer).mDown = true;
    REQUIRE(RunUntilPromotion(driver, 8s));
    CHECK(driver.mStoredRecords.at(0).mRetiredTerm == 2);
  }
  SECTION("but not if no server leads it")
  {
    REQUIRE(RunUntilPromotion(driver, 8s));
    CHECK(driver.mStoredRecords.at(0).mRetiredTerm == 1);
  }
}
