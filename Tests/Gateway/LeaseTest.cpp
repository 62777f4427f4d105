#include <catch2/catch.hpp>

#include <algorithm>

#include "Follower.h"
#include "Gateway/Context.h"
#include "Group/Promoter.h"

using namespace camphorstep;
using namespace camphorstep::gateway;

namespace {

bool
HoldsLease(GatewayDriver& aDriver)
{
  std::vector<gateway::Effect> effects;
  return HoldsPromoterLease(Context{ aDriver.mState, aDriver.mNow, effects });
}

/// Delivers the stored row of the lease, read at aTime by the store's clock.
void
DeliverLease(GatewayDriver& aDriver,
             const PromoterLease& aLease,
             Duration aTime)
{
  TableProgress& table = aDriver.mState.mCatalogue.mTables.at(2);
  if (!table.mCall) {
    table.mCall = gateway::CallId{ ++aDriver.mState.mLastId };
  }
  TableAnswer answer;
  answer.mCall = table.mCall;
  answer.mTable = Table::Fleet;
  answer.mOutcome = CallOutcome::Ok;
  answer.mVersion = std::max(++aDriver.mStoreVersion, aLease.mRowVersion);
  // A host reads the whole table after the store has returned from a copy.
  answer.mIsSnapshot = EraOf(answer.mVersion) > 0;
  answer.mStoreTime = aTime;
  answer.mLease = aLease;
  aDriver.Deliver(answer);
}

}

TEST_CASE("A lease whose writes were not answered starts at the first write",
          "[Lease]")
{
  GatewayDriver driver;
  driver.mEffects.clear();
  const PromoterLease held = driver.mState.mPromoter.mLease;
  // The renewal is stored, but its reply is lost.
  std::optional<WriteLease> renewal;
  while (!renewal) {
    driver.AdvanceTime(10ms);
    renewal = driver.Take<WriteLease>();
  }
  const Instant written = driver.mNow;
  driver.AdvanceTime(1'500ms);
  driver.Deliver(StoreWritten{ renewal->mCall, CallOutcome::Unknown });
  // It is sent again before the row has been read.
  driver.AdvanceTime(500ms);
  const auto second = driver.Take<WriteLease>();
  REQUIRE(second);
  CHECK(second->mLease.mRowVersion == held.mRowVersion);
  driver.Deliver(StoreWritten{ second->mCall, CallOutcome::Conflict });
  PromoterLease row = held;
  row.mRowVersion = ++driver.mStoreVersion;
  DeliverLease(driver, row, 1000s);
  CHECK(HoldsLease(driver));
  while (driver.mNow < written + kPromoterLeaseDuration) {
    driver.AdvanceTime(10ms);
    while (driver.Take<WriteLease>()) {
    }
  }
  CHECK_FALSE(HoldsLease(driver));
}

TEST_CASE(
  "A lease does not expire by comparing the store's clock with the host's",
  "[Lease]")
{
  Follower driver;
  driver.mState.mTimers.Arm(TimerKind::PromoterLease, 0, driver.mNow);
  driver.mState.mPromoter = PromoterState{};
  driver.mState.mCatalogue.mHosts.erase("h2");
  // The store's clock is far behind the host's: the store was started later.
  DeliverLease(driver, { "h2", 5, 3, ++driver.mStoreVersion }, 20ms);
  driver.mEffects.clear();
  driver.AdvanceTime(kPromoterLeaseDuration - 500ms);
  CHECK_FALSE(driver.Take<WriteLease>());
  driver.AdvanceTime(2s);
  CHECK(driver.Take<WriteLease>());
}

TEST_CASE(
  "A host with a responsive source in its data centre does not claim the lease",
  "[Lease]")
{
  Follower driver;
  driver.mState.mTimers.Arm(TimerKind::PromoterLease, 0, driver.mNow);
  driver.mState.mPromoter.mLease = {};
  driver.Follow(1s);
  driver.mEffects.clear();
  for (int n = 0; n < 50; ++n) {
    driver.Follow(10ms);
    CHECK_FALSE(driver.Take<WriteLease>());
  }
}

TEST_CASE("Hosts report to each other how long the lease has been unchanged",
          "[Lease]")
{
  Follower driver;
  driver.mState.mCatalogue.mHosts["h2"].mDataCentre = "b";
  driver.mState.mTimers.Arm(TimerKind::PromoterLease, 0, driver.mNow);
  DeliverLease(driver, { "h2", 5, 3, ++driver.mStoreVersion }, 1000s);
  driver.Follow(100ms);
  while (!driver.mQuery) {
    driver.Follow(10ms);
  }
  PeerReport report = driver.MakeReport(*driver.mQuery, 0ms);
  report.mLease =
    LeaseReport{ { "h2", 5, 3, ++driver.mStoreVersion }, 1'002s, 1'002'500ms };
  driver.Deliver(report);
  driver.mEffects.clear();
  // By the store's clock the row was already present 500 ms ago.
  driver.AdvanceTime(kPromoterLeaseDuration - 600ms);
  CHECK_FALSE(driver.Take<WriteLease>());
  driver.AdvanceTime(1s);
  CHECK(driver.Take<WriteLease>());
}

TEST_CASE("A lease row that the store has lost holds until its time is over",
          "[Lease]")
{
  // A rival may have taken the lease after the copy was made.
  GatewayDriver driver;
  const std::uint64_t token = driver.mState.mPromoter.mLease.mToken;
  driver.mState.mPromoter.mHeldUntil = Instant{};
  const StoreVersion returned = MakeStoreVersion(1, 5);
  SECTION("if the copy has it released")
  {
    DeliverLease(driver, { "", 0, token, returned }, 2000s);
  }
  SECTION("if the copy has it held by this host")
  {
    DeliverLease(
      driver,
      { "h1", driver.mState.mSelf.mEntry.mIncarnation, token, returned },
      2000s);
  }
  SECTION("if the copy has it held by an earlier process of this host")
  {
    DeliverLease(driver, { "h1", 1, token, returned }, 2000s);
  }
  driver.mState.mPromoter.mHeldUntil = Instant{};
  driver.mEffects.clear();
  driver.AdvanceTime(kPromoterLeaseDuration - 100ms);
  CHECK_FALSE(driver.Take<WriteLease>());
  driver.AdvanceTime(1s);
  const auto claim = driver.Take<WriteLease>();
  REQUIRE(claim);
  CHECK(claim->mLease.mRowVersion == returned);
}

TEST_CASE("A fencing token is not given out twice after the store lost it",
          "[Lease]")
{
  Follower driver;
  driver.mState.mTimers.Arm(TimerKind::PromoterLease, 0, driver.mNow);
  driver.mState.mCatalogue.mHosts.erase("h2");
  // The copy has the lease of token 3; tokens up to 9 were used since.
  driver.mState.mPromoter = PromoterState{};
  DeliverLease(driver, { "h2", 5, 3, MakeStoreVersion(1, 5) }, 2000s);
  driver.mEffects.clear();
  driver.AdvanceTime(kPromoterLeaseDuration + 1s);
  const auto claim = driver.Take<WriteLease>();
  REQUIRE(claim);
  CHECK(claim->mLease.mToken > 9);
}

TEST_CASE("The holder of the lease writes it again when the store has lost it",
          "[Lease]")
{
  GatewayDriver driver;
  driver.mEffects.clear();
  const PromoterLease held = driver.mState.mPromoter.mLease;
  REQUIRE(HoldsLease(driver));
  SECTION("if the copy has an earlier lease")
  {
    DeliverLease(driver, { "h2", 5, 0, MakeStoreVersion(1, 5) }, 2000s);
    CHECK(HoldsLease(driver));
    driver.AdvanceTime(300ms);
    const auto claim = driver.Take<WriteLease>();
    REQUIRE(claim);
    CHECK(claim->mLease.mHolder == "h1");
    CHECK(claim->mLease.mRowVersion == MakeStoreVersion(1, 5));
    CHECK(claim->mLease.mToken > held.mToken);
  }
  SECTION("if the copy has none")
  {
    TableAnswer answer;
    answer.mTable = Table::Fleet;
    answer.mCall = driver.mState.mCatalogue.mTables.at(2).mCall =
      gateway::CallId{ ++driver.mState.mLastId };
    answer.mOutcome = CallOutcome::Ok;
    answer.mIsSnapshot = true;
    answer.mVersion = MakeStoreVersion(1, 5);
    answer.mStoreTime = 2000s;
    driver.Deliver(answer);
    CHECK(HoldsLease(driver));
    driver.AdvanceTime(300ms);
    const auto claim = driver.Take<WriteLease>();
    REQUIRE(claim);
    CHECK(NumberOf(claim->mLease.mRowVersion) == 0);
    CHECK(claim->mLease.mToken > held.mToken);
  }
}

TEST_CASE("A write of the lease that the store did after its return holds "
          "nothing",
          "[Lease]")
{
  GatewayDriver driver;
  driver.mEffects.clear();
  std::optional<WriteLease> renewal;
  while (!renewal) {
    driver.AdvanceTime(10ms);
    renewal = driver.Take<WriteLease>();
  }
  const Instant held = driver.mState.mPromoter.mHeldUntil;
  driver.Deliver(
    StoreWritten{ renewal->mCall, CallOutcome::Ok, MakeStoreVersion(1, 9) });
  CHECK(driver.mState.mPromoter.mHeldUntil == held);
}

TEST_CASE("A lease of the store's new era ends one that the store has lost",
          "[Lease]")
{
  GatewayDriver driver;
  REQUIRE(HoldsLease(driver));
  const StoreVersion returned = MakeStoreVersion(1, 5);
  DeliverLease(driver, { "h2", 5, 1'000'001, returned }, 2000s);
  CHECK_FALSE(HoldsLease(driver));
  CHECK(driver.mState.mPromoter.mLease.mHolder == "h2");
}

TEST_CASE("A host claims a lease that its source leaves expired", "[Lease]")
{
  Follower driver;
  driver.mState.mTimers.Arm(TimerKind::PromoterLease, 0, driver.mNow);
  DeliverLease(driver, { "h2", 5, 3, ++driver.mStoreVersion }, 1000s);
  // The source has the first right to it.
  driver.Follow(kPromoterLeaseDuration + 2s);
  CHECK_FALSE(HoldsLease(driver));
  driver.Follow(10s);
  CHECK(HoldsLease(driver));
}
