#include "Dispatcher/Intake.h"

#include <algorithm>
#include <limits>

#include "Dispatcher/ServiceTime.h"

namespace camphorstep {

namespace {

/// Requests that wait longer than this count as delayed.
constexpr Duration kTargetQueueDelay = std::chrono::milliseconds(20);
/// A rank with delayed requests for this long is overloaded.
constexpr Duration kOverloadDetectionDelay = std::chrono::milliseconds(100);
constexpr Duration kWindowAdjustInterval = std::chrono::milliseconds(100);
constexpr std::size_t kWindowGrowthPercent = 125;
/// Round trip to the farthest host, including processing, that a window has to
/// cover.
constexpr Duration kRoundTripAllowance = std::chrono::milliseconds(40);
/// An entry host counts as active for this long after a request.
constexpr Duration kActiveOriginTimeout = std::chrono::seconds(1);

std::size_t
UnrestrictedWindow(const RankRules& aRules)
{
  return static_cast<std::size_t>(aRules.mMaxQueued) +
         static_cast<std::size_t>(aRules.mMaxInProgress);
}

/// The number of requests that keeps the slots busy while the next ones are in
/// transit.
std::size_t
SaturatingWindow(const ServerDispatch& aDispatch, int aLimit)
{
  const Duration mean = ExpectedServiceTime(aDispatch.mScheduler.mServiceTime);
  return static_cast<std::size_t>(aLimit +
                                  aLimit * (mean + kRoundTripAllowance) / mean);
}

bool
HasLongWait(const RankQueue& aRank, Instant aNow)
{
  return std::any_of(
    aRank.mServices.begin(), aRank.mServices.end(), [aNow](const auto& aItem) {
      const auto& waiting = aItem.second.mWaiting;
      return !waiting.empty() &&
             aNow - waiting.front().mArrivedAt > kTargetQueueDelay;
    });
}

void
AdjustWindow(RankQueue& aRank,
             const RankRules& aRules,
             std::size_t aSaturatingWindow,
             Instant aNow)
{
  const std::size_t open = UnrestrictedWindow(aRules);
  if (aRank.mWindow == 0) {
    aRank.mWindow = open;
  }
  if (!HasLongWait(aRank, aNow)) {
    aRank.mLastShortWaitAt = aNow;
  }
  if (aNow - aRank.mWindowAdjusted < kWindowAdjustInterval) {
    return;
  }
  aRank.mWindowAdjusted = aNow;
  if (aNow - aRank.mLastShortWaitAt >= kOverloadDetectionDelay) {
    aRank.mWindow = std::min(open, aSaturatingWindow);
  } else if (aNow == aRank.mLastShortWaitAt) {
    aRank.mWindow =
      std::min(open, aRank.mWindow * kWindowGrowthPercent / 100 + 1);
  }
}

}

void
UpdateIntake(ServerDispatch& aDispatch,
             const Configuration& aConfiguration,
             int aLimit,
             Instant aNow)
{
  const std::size_t busy = SaturatingWindow(aDispatch, aLimit);
  for (const Rank rank : kRanks) {
    RankQueue& queue = aDispatch.mScheduler.mRanks[IndexOf(rank)];
    AdjustWindow(queue, aConfiguration.mRanks[IndexOf(rank)], busy, aNow);
    std::erase_if(queue.mLastRequestAtByOrigin, [aNow](const auto& aItem) {
      return aNow - aItem.second > kActiveOriginTimeout;
    });
  }
}

std::array<RankIntake, kRankCount>
IntakeOf(const ServerDispatch& aDispatch, const Configuration& aConfiguration)
{
  std::array<RankIntake, kRankCount> intake{};
  for (const Rank rank : kRanks) {
    const RankQueue& queue = aDispatch.mScheduler.mRanks[IndexOf(rank)];
    const std::size_t open =
      UnrestrictedWindow(aConfiguration.mRanks[IndexOf(rank)]);
    intake[IndexOf(rank)].mWaiting =
      static_cast<std::uint16_t>(std::min<std::size_t>(
        queue.mSize, std::numeric_limits<std::uint16_t>::max()));
    if (queue.mWindow == 0 || queue.mWindow >= open) {
      continue;
    }
    const std::size_t hosts =
      std::max<std::size_t>(1, queue.mLastRequestAtByOrigin.size());
    intake[IndexOf(rank)].mWindow = static_cast<std::uint16_t>(
      std::clamp<std::size_t>((queue.mWindow + hosts - 1) / hosts,
                              1,
                              std::numeric_limits<std::uint16_t>::max()));
  }
  return intake;
}

}
