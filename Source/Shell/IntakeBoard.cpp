#include "Shell/IntakeBoard.h"

#include <mutex>

#include "Entry/RetryHint.h"

namespace camphorstep {

void
IntakeBoard::Set(const SetIntake& aIntake)
{
  const std::lock_guard lock(mMutex);
  if (aIntake.mClosed) {
    mClosed[aIntake.mClass] = aIntake.mRank;
  } else {
    mClosed.erase(aIntake.mClass);
  }
}

std::optional<Duration>
IntakeBoard::RefusalFor(const CallerRequest& aRequest)
{
  if (!aRequest.mTransaction.empty()) {
    return std::nullopt;
  }
  const std::shared_lock lock(mMutex);
  if (mClosed.empty()) {
    return std::nullopt;
  }
  const auto it = mClosed.find(ClassOf(aRequest));
  if (it == mClosed.end()) {
    return std::nullopt;
  }
  const std::uint64_t count = ++mRefused[IndexOf(it->second)];
  return JitterRetryHint(HashPair(count, aRequest.mCall.mValue), kRetryHint);
}

std::array<std::uint64_t, kRankCount>
IntakeBoard::Refused() const
{
  std::array<std::uint64_t, kRankCount> counts{};
  for (const Rank rank : kRanks) {
    counts[IndexOf(rank)] = mRefused[IndexOf(rank)];
  }
  return counts;
}

}
