#include "Entry/InProgressLimit.h"

#include <algorithm>
#include <cstdint>

#include "Reducer/State.h"

namespace camphorstep {

int
InProgressLimit(const State& aState, Rank aRank)
{
  const auto& ranks = aState.mConfiguration.mCurrent.mRanks;
  std::int64_t sum = 0;
  for (const RankRules& rules : ranks) {
    sum += rules.mMaxInProgress;
  }
  const std::int64_t limit = ranks[IndexOf(aRank)].mMaxInProgress;
  if (sum <= aState.mMaxCalls) {
    return static_cast<int>(limit);
  }
  return static_cast<int>(
    std::max<std::int64_t>(1, limit * aState.mMaxCalls / sum));
}

}
