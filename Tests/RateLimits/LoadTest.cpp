#include <catch2/catch.hpp>

#include <algorithm>

#include "RateLimits/World.h"

using namespace camphorstep;
using namespace camphorstep::ratelimits;

namespace {

constexpr std::size_t kDataCentres = 6;
constexpr std::size_t kHostsPerDataCentre = 13;
/// A deployment's callers usually ask for this part of their limit.
constexpr double kUsualPart = 0.6;
/// Until then the hosts have found their sources and granted shares.
constexpr Duration kSettled = 40s;

TestAccount
AccountOf(double aRate, double aPart, std::size_t aDataCentres = kDataCentres)
{
  return { { aRate, aRate }, aRate * aPart, aDataCentres };
}

double
RefusedPart(const AccountOutcome& aOutcome)
{
  return static_cast<double>(aOutcome.mRefused) /
         static_cast<double>(std::max<std::uint64_t>(aOutcome.mAsked, 1));
}

/// The counts of some accounts together.
AccountOutcome
Sum(const std::vector<AccountOutcome>& aOutcomes,
    std::size_t aFirst,
    std::size_t aEnd)
{
  AccountOutcome sum;
  for (std::size_t n = aFirst; n < aEnd; ++n) {
    sum.mAsked += aOutcomes[n].mAsked;
    sum.mRefused += aOutcomes[n].mRefused;
  }
  return sum;
}

/// Runs for a time and returns the outcomes in it.
std::vector<AccountOutcome>
Watch(World& aWorld, Duration aFrom, Duration aTo)
{
  aWorld.RunUntil(aFrom);
  aWorld.ForgetCounts();
  aWorld.RunUntil(aTo);
  return aWorld.mOutcomes;
}

}

TEST_CASE("Accounts below their limits are hardly ever refused, small ones too",
          "[RateLimits]")
{
  World world(1,
              kDataCentres,
              kHostsPerDataCentre,
              { AccountOf(2, kUsualPart),
                AccountOf(5, kUsualPart),
                AccountOf(20, kUsualPart),
                AccountOf(160, kUsualPart) });
  const auto outcomes = Watch(world, kSettled, kSettled + 60s);
  for (const AccountOutcome& outcome : outcomes) {
    CAPTURE(outcome.mAsked, outcome.mRefused);
    CHECK(RefusedPart(outcome) < 0.01);
    CHECK(outcome.mMaxWait <= kTokenTimeout);
  }
  CHECK_FALSE(world.FindBreach().has_value());
}

TEST_CASE("A flood of one account takes nothing from the others",
          "[RateLimits]")
{
  World world(2,
              kDataCentres,
              kHostsPerDataCentre,
              { AccountOf(40, kUsualPart), AccountOf(40, kUsualPart) });
  world.RunUntil(kSettled);
  world.mAccounts[0].mDemand = 40 * 5;
  const auto outcomes = Watch(world, kSettled + 2s, kSettled + 12s);
  CAPTURE(outcomes[0].mAsked, outcomes[0].mRefused, outcomes[1].mRefused);
  CHECK(RefusedPart(outcomes[1]) < 0.01);
  // What the limit allows is served.
  CHECK(outcomes[0].mAsked - outcomes[0].mRefused >= 40 * 10 * 9 / 10);
  CHECK_FALSE(world.FindBreach().has_value());
}

TEST_CASE("Accounts that ask for all of their limits get nearly all of it",
          "[RateLimits]")
{
  World world(3,
              kDataCentres,
              kHostsPerDataCentre,
              { AccountOf(5, 1.0), AccountOf(20, 1.0), AccountOf(100, 1.0) });
  const auto outcomes = Watch(world, kSettled, kSettled + 30s);
  for (const AccountOutcome& outcome : outcomes) {
    CAPTURE(outcome.mAsked, outcome.mRefused);
    CHECK(RefusedPart(outcome) < 0.1);
  }
  CHECK_FALSE(world.FindBreach().has_value());
}

TEST_CASE("A limit can be used from one data centre alone", "[RateLimits]")
{
  World world(4,
              kDataCentres,
              kHostsPerDataCentre,
              { AccountOf(5, 0.8, 1), AccountOf(100, 0.8, 1) });
  const auto outcomes = Watch(world, kSettled, kSettled + 30s);
  for (const AccountOutcome& outcome : outcomes) {
    CAPTURE(outcome.mAsked, outcome.mRefused);
    CHECK(RefusedPart(outcome) < 0.02);
  }
  CHECK_FALSE(world.FindBreach().has_value());
}

TEST_CASE("Most of what is below the limit is served while no granter stands",
          "[RateLimits]")
{
  // Many small accounts, so that the part does not depend on a few operations.
  constexpr std::size_t kSmall = 20;
  std::vector<TestAccount> accounts(kSmall, AccountOf(5, kUsualPart));
  accounts.push_back(AccountOf(20, kUsualPart));
  accounts.push_back(AccountOf(100, kUsualPart));
  World world(5, kDataCentres, kHostsPerDataCentre, accounts);
  world.RunUntil(kSettled);
  REQUIRE(world.Granter().has_value());
  world.Kill(*world.Granter(), 20s);
  const auto outcomes = Watch(world, kSettled, kSettled + 6s);
  const AccountOutcome small = Sum(outcomes, 0, kSmall);
  CAPTURE(small.mAsked, small.mRefused);
  CHECK(RefusedPart(small) < 0.4);
  const AccountOutcome large = Sum(outcomes, kSmall, outcomes.size());
  CAPTURE(large.mAsked, large.mRefused);
  CHECK(RefusedPart(large) < 0.4);
  const auto after = Watch(world, kSettled + 8s, kSettled + 20s);
  const AccountOutcome all = Sum(after, 0, after.size());
  CAPTURE(all.mAsked, all.mRefused);
  CHECK(RefusedPart(all) < 0.05);
  CHECK_FALSE(world.FindBreach().has_value());
}

TEST_CASE("Service returns within seconds after all hosts lost power",
          "[RateLimits]")
{
  World world(6,
              kDataCentres,
              kHostsPerDataCentre,
              { AccountOf(5, kUsualPart),
                AccountOf(20, kUsualPart),
                AccountOf(100, kUsualPart) });
  world.RunUntil(kSettled);
  world.LosePower(1s);
  const auto outcomes = Watch(world, kSettled + 2s, kSettled + 10s);
  for (const AccountOutcome& outcome : outcomes) {
    CAPTURE(outcome.mAsked, outcome.mRefused);
    CHECK(RefusedPart(outcome) < 0.25);
  }
  CHECK_FALSE(world.FindBreach().has_value());
}

TEST_CASE("Shares outlast an outage of the store", "[RateLimits]")
{
  World world(7,
              kDataCentres,
              kHostsPerDataCentre,
              { AccountOf(20, kUsualPart), AccountOf(100, kUsualPart) });
  world.RunUntil(kSettled);
  world.StopStore(20s);
  const auto outcomes = Watch(world, kSettled + 5s, kSettled + 20s);
  const AccountOutcome all = Sum(outcomes, 0, outcomes.size());
  CAPTURE(all.mAsked, all.mRefused);
  CHECK(RefusedPart(all) < 0.4);
  CHECK_FALSE(world.FindBreach().has_value());
}

TEST_CASE("A deployment of one data centre has its whole limit", "[RateLimits]")
{
  World world(8, 1, 3, { AccountOf(10, 0.9, 1), AccountOf(50, 0.9, 1) });
  const auto outcomes = Watch(world, kSettled, kSettled + 30s);
  for (const AccountOutcome& outcome : outcomes) {
    CAPTURE(outcome.mAsked, outcome.mRefused);
    CHECK(RefusedPart(outcome) < 0.05);
  }
  CHECK_FALSE(world.FindBreach().has_value());
}
