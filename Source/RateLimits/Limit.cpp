#include "RateLimits/Limit.h"

#include <algorithm>

namespace camphorstep::gateway {

namespace {

/// The part of the slack that the granter's reserve gets. The floors get the
/// rest.
constexpr double kReservePartOfSlack = 0.2;

double
InSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

}

double
OperationsInWindow(const RateLimit& aLimit, const LimitBounds& aBounds)
{
  return aLimit.mPerSecond * InSeconds(aBounds.mWindow) + aLimit.mBurst;
}

Floor
FloorOf(const RateLimit& aLimit,
        const LimitBounds& aBounds,
        std::size_t aDataCentres)
{
  const auto parts =
    static_cast<double>(std::max<std::size_t>(aDataCentres, 1));
  const double overage =
    OperationsInWindow(aLimit, aBounds) * aBounds.mOverage / parts;
  const double slack = (aBounds.mSlack - ReserveSlack(aBounds)) / parts;
  Floor floor;
  floor.mPerSecond = overage / InSeconds(aBounds.mWindow);
  // A host that restarts forgets what it has spent, so what its bucket starts
  // with counts beside its size. It is one operation if there is room for both.
  floor.mInitialTokens = slack >= 2 ? 1 : 0;
  floor.mSize = slack - floor.mInitialTokens;
  return floor;
}

double
ReserveSlack(const LimitBounds& aBounds)
{
  return aBounds.mSlack * kReservePartOfSlack;
}

}
