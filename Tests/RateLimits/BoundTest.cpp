#include <catch2/catch.hpp>

#include <algorithm>
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

constexpr Duration kRunTime = 60s;
/// A host that restarts more than once in a window may exceed its floor.
constexpr Duration kRestartInterval = 6s;
constexpr std::size_t kHostsPerDataCentre = 3;

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
    switch (mRandom() % 10) {
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
        mWorld.Cut(host, Random(200ms, 15s));
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
        mWorld.AddHost(mRandom() % 6);
        break;
      case 8: {
        const std::size_t account = mRandom() % mWorld.mAccounts.size();
        RateLimit limit = mWorld.mAccounts[account].mLimit;
        limit.mPerSecond *= mRandom() % 2 == 0 ? 0.3 : 1.0;
        limit.mBurst = limit.mPerSecond;
        mWorld.Publish(account, limit, Random(10ms, 5s));
        break;
      }
      default:
        mWorld.mFaults = { mRandom() % 3 * 0.05,
                           mRandom() % 3 * 0.05,
                           mRandom() % 3 * 0.05,
                           Random(10ms, 8s) };
        break;
    }
  }

private:
  std::mt19937_64 mRandom;
  World& mWorld;
  Instant mNextRestart;
};

std::vector<TestAccount>
FloodedAccounts()
{
  // All ask for several times their limits, so that whatever could be spent is
  // spent.
  return {
    { { 2, 2 }, 12, 6 },
    { { 10, 10 }, 60, 6 },
    { { 40, 40 }, 160, 2 },
    { { 100, 100 }, 400, 6 },
  };
}

}

TEST_CASE("No window has more operations than the bound, whatever fails",
          "[RateLimits]")
{
  const std::uint64_t first = FromEnvironment("RATE_LIMITS_FIRST_SEED", 1);
  const std::uint64_t count = FromEnvironment("RATE_LIMITS_SEEDS", 25);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    CAPTURE(seed);
    World world(seed, 6, kHostsPerDataCentre, FloodedAccounts());
    Disruptions disruptions(seed, world);
    Duration at{ 0 };
    while (at < kRunTime) {
      at += disruptions.Random(200ms, 4s);
      world.RunUntil(at);
      disruptions.Next();
    }
    const auto breach = world.FindBreach();
    INFO(breach.value_or(""));
    CHECK_FALSE(breach.has_value());
  }
}
