#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "Entry/Freshness.h"

using namespace camphorstep;

namespace {

const Instant kStart{ std::chrono::seconds(1'000) };

/// The position of a primary that writes once per millisecond.
Position
PositionAt(Instant aTime)
{
  return Position{
    1, static_cast<std::uint64_t>((aTime - kStart).count() / 1'000) + 1
  };
}

}

TEST_CASE("Replica age and needed position never overstate freshness",
          "[Freshness]")
{
  CHECK(rc::check("for any times of sampling", [] {
    DatabaseUse use;
    Instant now = kStart;
    const auto steps = *rc::gen::container<std::vector<int>>(
      *rc::gen::inRange(1, 600), rc::gen::inRange(1, 200));
    for (const int step : steps) {
      now += std::chrono::milliseconds(step);
      // A sample's time is a lower bound of the time of its position.
      const Duration uncertainty = std::chrono::milliseconds(step % 20);
      AddPrimarySample(use, { now - uncertainty, PositionAt(now) });
    }
    const Instant appliedAt =
      now - std::chrono::milliseconds(*rc::gen::inRange(0, 20'000));
    const Position applied = PositionAt(std::max(kStart, appliedAt));
    const Duration trueAge = now - std::max(kStart, appliedAt);
    const auto age = AgeOf(use, now, applied);
    if (age) {
      RC_ASSERT(*age + std::chrono::milliseconds(1) >= trueAge);
    }
    const Duration maxAge =
      std::chrono::milliseconds(*rc::gen::inRange(1, 20'000));
    const auto needed = MinPositionAt(use, now - maxAge);
    if (needed && *needed <= applied) {
      RC_ASSERT(trueAge <= maxAge + std::chrono::milliseconds(1));
    }
  }));
}

TEST_CASE("Few samples cover a long time", "[Freshness]")
{
  DatabaseUse use;
  Instant now = kStart;
  for (int n = 0; n < 60'000; ++n) {
    now += std::chrono::milliseconds(1);
    AddPrimarySample(use, { now, PositionAt(now) });
  }
  CHECK(use.mPrimarySamples.size() <= 257);
  const Instant before = now - std::chrono::seconds(20);
  const auto age = AgeOf(use, now, PositionAt(before));
  REQUIRE(age);
  CHECK(*age < std::chrono::seconds(24));
  const auto recent =
    AgeOf(use, now, PositionAt(now - std::chrono::milliseconds(300)));
  REQUIRE(recent);
  CHECK(*recent <= std::chrono::milliseconds(315));
}

TEST_CASE("The estimated lag rises at once and falls slowly", "[Freshness]")
{
  DatabaseUse use;
  KnownServer replica;
  Instant now = kStart;
  const auto observe = [&](Duration aLag, int aCount) {
    for (int n = 0; n < aCount; ++n) {
      now += std::chrono::milliseconds(100);
      AddPrimarySample(use, { now, PositionAt(now) });
      replica.mSampledAt = now;
      replica.mView.mApplied = PositionAt(std::max(kStart, now - aLag));
      UpdateLagEstimate(use, replica);
    }
  };
  observe(std::chrono::milliseconds(200), 20);
  CHECK(replica.mLag >= std::chrono::milliseconds(190));
  CHECK(replica.mLag <= std::chrono::milliseconds(310));
  const Duration wait =
    ExpectedCatchUpDelay(use, replica, now, PositionAt(now));
  CHECK(wait >= std::chrono::milliseconds(100));
  CHECK(wait <= replica.mLag);
  CHECK(ExpectedCatchUpDelay(use, replica, now, replica.mView.mApplied) ==
        Duration{ 0 });
  observe(std::chrono::milliseconds(1'500), 20);
  CHECK(replica.mLag >= std::chrono::milliseconds(1'400));
  observe(std::chrono::milliseconds(200), 1);
  CHECK(replica.mLag >= std::chrono::milliseconds(1'000));
  observe(std::chrono::milliseconds(200), 40);
  CHECK(replica.mLag <= std::chrono::milliseconds(350));
}
