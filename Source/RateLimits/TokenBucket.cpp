#include "RateLimits/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace camphorstep::gateway {

namespace {

/// The longest time to a token that is told apart from never.
constexpr double kMaxSecondsToToken = 3'600;

}

void
Refill(TokenBucket& aBucket, Instant aNow)
{
  if (aNow <= aBucket.mCountedUntil) {
    return;
  }
  const std::chrono::duration<double> time = aNow - aBucket.mCountedUntil;
  aBucket.mTokens = std::min(
    aBucket.mSize, aBucket.mTokens + aBucket.mPerSecond * time.count());
  aBucket.mCountedUntil = aNow;
}

void
Resize(TokenBucket& aBucket, double aPerSecond, double aSize, Instant aNow)
{
  Refill(aBucket, aNow);
  aBucket.mPerSecond = aPerSecond;
  aBucket.mSize = aSize;
  aBucket.mTokens = std::min(aBucket.mTokens, aSize);
}

void
Empty(TokenBucket& aBucket, Instant aNow)
{
  Refill(aBucket, aNow);
  aBucket.mTokens = 0;
}

unsigned
Take(TokenBucket& aBucket, unsigned aCount)
{
  const double whole = std::floor(aBucket.mTokens);
  const double taken = std::min(whole, static_cast<double>(aCount));
  aBucket.mTokens -= taken;
  return static_cast<unsigned>(taken);
}

Duration
TimeToToken(const TokenBucket& aBucket)
{
  if (aBucket.mTokens >= 1) {
    return Duration{ 0 };
  }
  const double seconds = (1 - aBucket.mTokens) / aBucket.mPerSecond;
  if (aBucket.mSize < 1 || !(seconds < kMaxSecondsToToken)) {
    return Duration::max();
  }
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

}
