#include <catch2/catch.hpp>

#include <array>
#include <cstdlib>
#include <random>
#include <string>

#include "RateLimits/World.h"

using namespace camphorstep;
using namespace camphorstep::ratelimits;

namespace {

/// How many seeds are run, and the first one. A run of many seeds gives them in
/// the environment.
std::uint64_t
FromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* const text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

/// Until then nothing fails, so that shares have been granted.
constexpr Duration kCalmTime = 40s;
constexpr Duration kRunTime = 120s;
/// A host that restarts more than once in a window may exceed its floor.
constexpr Duration kRestartInterval = 6s;
constexpr std::size_t kDataCentres = 6;
constexpr std::size_t kHostsPerDataCentre = 3;
/// The demand of a flood, as a multiple of the limit.
constexpr double kFloodPart = 5;
/// The longest times between two disruptions, by seed.
constexpr std::array kMaxPauses{ Duration(2s), Duration(6s), Duration(20s) };

/// Brings disruptions about at random.
class Disruptions
{
public:
  Disruptions(std::uint64_t aSeed, World& aWorld)
    : mRandom(aSeed * 7 + 1)
    , mWorld(aWorld)
  {
  }

  Duration Random(Duration aMin, Duration aMax)
  {
    return Duration(std::uniform_int_distribution<Duration::rep>(
      aMin.count(), aMax.count())(mRandom));
  }

  void Next()
  {
    const std::size_t any = mRandom() % mWorld.HostCount();
    const auto granter = mWorld.Granter();
    const std::size_t host = granter && mRandom() % 2 == 0 ? *granter : any;
    const bool mayRestart = mWorld.Now() >= mNextRestart;
    switch (mRandom() % 14) {
      case 0:
      case 1:
        if (mayRestart) {
          mWorld.Kill(host, Random(200ms, 8s));
          mNextRestart = mWorld.Now() + kRestartInterval;
        }
        break;
      case 2:
        mWorld.Freeze(host, Random(100ms, 10s));
        break;
      case 3:
        // Longer than a share lasts, at times.
        mWorld.Cut(host, Random(200ms, 50s));
        break;
      case 4:
        mWorld.CutStore(host, Random(1s, 15s));
        break;
      case 5:
        if (mayRestart) {
          mWorld.LosePower(Random(500ms, 2s));
          mNextRestart = mWorld.Now() + 2 * kRestartInterval;
        }
        break;
      case 6:
        mWorld.StopStore(Random(1s, 12s));
        break;
      case 7:
        mWorld.AddHost(mRandom() % kDataCentres);
        break;
      case 8: {
        const std::size_t account = mRandom() % mWorld.mAccounts.size();
        RateLimit limit = mWorld.mAccounts[account].mLimit;
        limit.mPerSecond *= mRandom() % 2 == 0 ? 0.3 : 1.0;
        limit.mBurst = limit.mPerSecond;
        mWorld.Publish(account, limit, Random(10ms, 5s));
        break;
      }
      case 9:
        mWorld.mFaults = {
          LowChance(), LowChance(), LowChance(), Random(10ms, 8s)
        };
        break;
      default:
        ChangeDemands();
        break;
    }
  }

  /// The chance that a message is lost, repeated or late.
  double LowChance()
  {
    return std::uniform_real_distribution<double>(0, 0.3)(mRandom);
  }

  /// Accounts that ask for nothing have their buckets filled, and spend them at
  /// once in a flood.
  void ChangeDemands()
  {
    for (TestAccount& account : mWorld.mAccounts) {
      const double part = mRandom() % 2 == 0 ? 0.0 : kFloodPart;
      account.mDemand = account.mLimit.mPerSecond * part;
      account.mDataCentres = 1 + mRandom() % kDataCentres;
    }
  }

private:
  std::mt19937_64 mRandom;
  World& mWorld;
  Instant mNextRestart;
};

std::vector<TestAccount>
MakeAccounts()
{
  return {
    { { 2, 2 }, 1, 6 },
    { { 10, 10 }, 6, 6 },
    { { 40, 40 }, 20, 2 },
    { { 100, 100 }, 60, 6 },
  };
}

}

TEST_CASE("No window has more operations than the bound, whatever fails",
          "[RateLimits]")
{
  const std::uint64_t first = FromEnvironment("RATE_LIMITS_FIRST_SEED", 1);
  const std::uint64_t count = FromEnvironment("RATE_LIMITS_SEEDS", 100);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    CAPTURE(seed);
    World world(seed, kDataCentres, kHostsPerDataCentre, MakeAccounts());
    if (seed % 2 == 0) {
      // Without overage and slack there are no floors, and the least excess of
      // shares and reserve shows.
      world.mBounds.mOverage = 0;
      world.mBounds.mSlack = 0;
    }
    Disruptions disruptions(seed, world);
    Duration at = kCalmTime;
    world.RunUntil(at);
    while (at < kRunTime) {
      at += disruptions.Random(200ms, kMaxPauses.at(seed % kMaxPauses.size()));
      world.RunUntil(at);
      disruptions.Next();
    }
    const auto breach = world.FindBreach();
    INFO(breach.value_or(""));
    CHECK_FALSE(breach.has_value());
  }
}

TEST_CASE("Hosts that are cut off for long stop spending their shares",
          "[RateLimits]")
{
  World world(
    1, kDataCentres, kHostsPerDataCentre, { { { 100, 100 }, 60, 6 } });
  world.mBounds.mOverage = 0;
  world.mBounds.mSlack = 0;
  world.RunUntil(kCalmTime);
  REQUIRE(world.Granter().has_value());
  const std::size_t granterDataCentre = *world.Granter() % kDataCentres;
  for (std::size_t n = 0; n < world.HostCount(); ++n) {
    const std::size_t dataCentre = n % kDataCentres;
    if (dataCentre != granterDataCentre && dataCentre % 2 == 0) {
      world.Cut(n, 100s);
    }
  }
  // Their shares have run out, and the others have them.
  world.RunUntil(kCalmTime + 45s);
  world.mAccounts[0].mDemand = 0;
  world.RunUntil(kCalmTime + 50s);
  world.mAccounts[0].mDemand = 100 * kFloodPart;
  world.RunUntil(kCalmTime + 60s);
  const auto breach = world.FindBreach();
  INFO(breach.value_or(""));
  CHECK_FALSE(breach.has_value());
}
