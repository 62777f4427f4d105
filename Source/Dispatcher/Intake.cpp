#include "Dispatcher/Intake.h"

#include <algorithm>
#include <limits>

#include "Dispatcher/ServiceTime.h"

namespace camphorstep {

namespace {

/// Requests that wait longer than this count as delayed.
constexpr Duration kTargetWait = std::chrono::milliseconds(20);
/// A rank with delayed requests for this long is overloaded.
constexpr Duration kStandingTime = std::chrono::milliseconds(100);
constexpr Duration kAdjustInterval = std::chrono::milliseconds(100);
constexpr std::size_t kWideningPercent = 125;
/// Round trip to the farthest host, including processing, that a window has to
/// cover.
constexpr Duration kRoundTrip = std::chrono::milliseconds(40);
/// An entry host counts as active for this long after a request.
constexpr Duration kOriginMemory = std::chrono::seconds(1);

std::size_t
OpenWindow(const RankRules& aRules)
{
  return static_cast<std::size_t>(aRules.mMaxQueued) +
         static_cast<std::size_t>(aRules.mMaxInProgress);
}

/// The number of requests that keeps the slots busy while the next ones are in
/// transit.
std::size_t
BusyWindow(const ServerDispatch& aDispatch, int aLimit)
{
  const Duration mean = ExpectedOf(aDispatch.mScheduler.mServiceTime);
  return static_cast<std::size_t>(aLimit + aLimit * (mean + kRoundTrip) / mean);
}

bool
WaitsLong(const RankQueue& aRank, Instant aNow)
{
  return std::any_of(
    aRank.mServices.begin(), aRank.mServices.end(), [aNow](const auto& aItem) {
      const auto& waiting = aItem.second.mWaiting;
      return !waiting.empty() &&
             aNow - waiting.front().mArrivedAt > kTargetWait;
    });
}

void
AdjustWindow(RankQueue& aRank,
             const RankRules& aRules,
             std::size_t aBusyWindow,
             Instant aNow)
{
  const std::size_t open = OpenWindow(aRules);
  if (aRank.mWindow == 0) {
    aRank.mWindow = open;
  }
  if (!WaitsLong(aRank, aNow)) {
    aRank.mStandingSince = aNow;
  }
  if (aNow - aRank.mWindowAdjusted < kAdjustInterval) {
    return;
  }
  aRank.mWindowAdjusted = aNow;
  if (aNow - aRank.mStandingSince >= kStandingTime) {
    aRank.mWindow = std::min(open, aBusyWindow);
  } else if (aNow == aRank.mStandingSince) {
    aRank.mWindow = std::min(open, aRank.mWindow * kWideningPercent / 100 + 1);
  }
}

}

void
UpdateIntake(ServerDispatch& aDispatch,
             const Configuration& aConfiguration,
             int aLimit,
             Instant aNow)
{
  const std::size_t busy = BusyWindow(aDispatch, aLimit);
  for (const Rank rank : kRanks) {
    RankQueue& queue = aDispatch.mScheduler.mRanks[IndexOf(rank)];
    AdjustWindow(queue, aConfiguration.mRanks[IndexOf(rank)], busy, aNow);
    std::erase_if(queue.mOrigins, [aNow](const auto& aItem) {
      return aNow - aItem.second > kOriginMemory;
    });
  }
}

std::array<RankIntake, kRankCount>
IntakeOf(const ServerDispatch& aDispatch, const Configuration& aConfiguration)
{
  std::array<RankIntake, kRankCount> intake{};
  for (const Rank rank : kRanks) {
    const RankQueue& queue = aDispatch.mScheduler.mRanks[IndexOf(rank)];
    const std::size_t open = OpenWindow(aConfiguration.mRanks[IndexOf(rank)]);
    intake[IndexOf(rank)].mWaiting =
      static_cast<std::uint16_t>(std::min<std::size_t>(
        queue.mSize, std::numeric_limits<std::uint16_t>::max()));
    if (queue.mWindow == 0 || queue.mWindow >= open) {
      continue;
    }
    const std::size_t hosts = std::max<std::size_t>(1, queue.mOrigins.size());
    intake[IndexOf(rank)].mWindow = static_cast<std::uint16_t>(
      std::clamp<std::size_t>((queue.mWindow + hosts - 1) / hosts,
                              1,
                              std::numeric_limits<std::uint16_t>::max()));
  }
  return intake;
}

}
