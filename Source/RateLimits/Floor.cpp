#include "RateLimits/Floor.h"

namespace camphorstep::gateway {

namespace {

using namespace std::chrono_literals;

/// A host whose list is older than this does not spend the floor.
constexpr Duration kMaxListAge = 10s;
/// A host in a new place waits for longer than that, for the difference of two
/// clocks.
constexpr Duration kNewPlaceDelay = 11s;

}

bool
SpendsFloor(const FloorTerms& aTerms)
{
  if (!aTerms.mIsFirst || !aTerms.mListAge || *aTerms.mListAge > kMaxListAge) {
    return false;
  }
  return aTerms.mHadPlaceBefore ||
         (aTerms.mListedFor && *aTerms.mListedFor >= kNewPlaceDelay);
}

}
