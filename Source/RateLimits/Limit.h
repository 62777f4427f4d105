#pragma once

#include <cstddef>

#include "Common/Time.h"

namespace camphorstep::gateway {

/// The limit on an account's operations on all hosts together.
struct RateLimit
{
  double mPerSecond = 0;
  /// How many operations beyond the rate may run at once.
  double mBurst = 0;

  bool operator==(const RateLimit&) const = default;
};

/// How far the operations in any span of the window may exceed a limit.
struct LimitBounds
{
  Duration mWindow{ 5'000'000 };
  /// A fraction of what the limit allows in the window.
  double mOverage = 0.1;
  /// A number of operations beyond that.
  double mSlack = 20;
};

/// What a data centre may spend of a limit without being granted it, as the
/// rate and the size of a token bucket.
struct Floor
{
  double mPerSecond = 0;
  double mSize = 0;
  /// What the bucket has when its host starts.
  double mInitialTokens = 0;

  bool operator==(const Floor&) const = default;
};

/// The operations that a limit allows in the window, without the overage and
/// the slack.
double OperationsInWindow(const RateLimit& aLimit, const LimitBounds& aBounds);

/// The floor of each data centre. All floors together stay within the overage
/// and the slack in any window, also when the first host of each data centre
/// restarts, or is succeeded, once in it.
Floor FloorOf(const RateLimit& aLimit,
              const LimitBounds& aBounds,
              std::size_t aDataCentres);

/// How many tokens beyond its part of the burst the granter's reserve can hold.
/// They come out of the slack, and let an account with a low limit have a few
/// operations at once.
double ReserveSlack(const LimitBounds& aBounds);

}
