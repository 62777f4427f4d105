#pragma once

#include "Common/Time.h"

namespace camphorstep::gateway {

/// Tokens that accrue at a rate up to a size. In any span of time no more can
/// be taken than the size and what accrues in it.
struct TokenBucket
{
  double mPerSecond = 0;
  double mSize = 0;
  double mTokens = 0;
  /// Until when accrual is counted.
  Instant mCountedUntil;
};

/// Counts the tokens that have accrued until a time.
void Refill(TokenBucket& aBucket, Instant aNow);

/// Changes rate and size from a time on. New room starts empty; tokens that no
/// longer fit are lost.
void Resize(TokenBucket& aBucket,
            double aPerSecond,
            double aSize,
            Instant aNow);

/// Removes all tokens.
void Empty(TokenBucket& aBucket, Instant aNow);

/// Takes up to a number of whole tokens and returns how many it has taken. The
/// bucket has to be refilled before.
unsigned Take(TokenBucket& aBucket, unsigned aCount);

/// The time until the bucket has a whole token; Duration::max() if it never
/// will.
Duration TimeToToken(const TokenBucket& aBucket);

}
