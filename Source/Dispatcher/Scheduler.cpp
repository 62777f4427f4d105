#include "Dispatcher/Scheduler.h"

#include <algorithm>

#include "Dispatcher/ServiceTime.h"

namespace camphorstep {

namespace {

/// The most slot time that a rank can accumulate from its reserved share, and
/// the most that it can owe.
constexpr Duration kMaxCredit = std::chrono::milliseconds(100);
constexpr Duration kMaxDebt = std::chrono::milliseconds(50);

/// The last free slot stays unused until this percentage of the even interval
/// between starts has passed.
constexpr int kPacingPercent = 60;

/// An urgent request counts as recent for this long.
constexpr Duration kRecentUrgentTimeout = std::chrono::seconds(1);

constexpr int kPercent = 100;

/// Charges slot time to a rank and credits each rank its reserved share of it.
void
Charge(SchedulerState& aScheduler,
       const Configuration& aConfiguration,
       Rank aRank,
       Duration aTime)
{
  for (const Rank rank : kRanks) {
    RankQueue& queue = aScheduler.mRanks[IndexOf(rank)];
    queue.mCredit +=
      aTime * aConfiguration.mRanks[IndexOf(rank)].mReservedPercent / kPercent;
    if (rank == aRank) {
      queue.mCredit -= aTime;
    }
    queue.mCredit = std::clamp(queue.mCredit, -kMaxDebt, kMaxCredit);
  }
}

bool
HasWork(const RankQueue& aRank, const FreeResources& aFree)
{
  return !aRank.mInTransactions.empty() ||
         (aRank.mSize > 0 && aFree.mConnection);
}

/// Returns the most urgent rank with work and credit, else the most urgent rank
/// with work, else nothing.
std::optional<Rank>
ChooseRank(const SchedulerState& aScheduler, const FreeResources& aFree)
{
  std::optional<Rank> first;
  for (const Rank rank : kRanks) {
    const RankQueue& queue = aScheduler.mRanks[IndexOf(rank)];
    if (!HasWork(queue, aFree)) {
      continue;
    }
    if (queue.mCredit > Duration{ 0 }) {
      return rank;
    }
    first = first ? first : rank;
  }
  return first;
}

/// Whether urgent requests have arrived recently.
bool
HasRecentUrgentRequests(const SchedulerState& aScheduler, Instant aNow)
{
  const RankQueue& urgent = aScheduler.mRanks[IndexOf(Rank::Urgent)];
  return std::any_of(urgent.mLastRequestAtByOrigin.begin(),
                     urgent.mLastRequestAtByOrigin.end(),
                     [aNow](const auto& aItem) {
                       return aNow - aItem.second < kRecentUrgentTimeout;
                     });
}

/// How long to reserve the last free slot for an urgent request.
Duration
LastSlotDelay(const SchedulerState& aScheduler,
              const FreeResources& aFree,
              Rank aRank,
              Instant aNow)
{
  if (aRank == Rank::Urgent || aFree.mLimit < 2 ||
      aFree.mRunning != aFree.mLimit - 1) {
    return Duration{ 0 };
  }
  if (!HasRecentUrgentRequests(aScheduler, aNow)) {
    return Duration{ 0 };
  }
  const Duration distance =
    ExpectedServiceTime(aScheduler.mServiceTime) / aFree.mLimit;
  const Duration since = aNow - aScheduler.mLastStart;
  return std::max(Duration{ 0 }, distance * kPacingPercent / kPercent - since);
}

/// The service of a rank that has used the least slot time.
ServiceQueue&
ChooseService(RankQueue& aRank)
{
  ServiceQueue* best = nullptr;
  for (auto& [service, queue] : aRank.mServices) {
    const bool better =
      !queue.mWaiting.empty() &&
      (best == nullptr || queue.mVirtualTime < best->mVirtualTime);
    if (better) {
      best = &queue;
    }
  }
  return *best;
}

QueuedRequest
TakeFirst(std::deque<QueuedRequest>& aQueue)
{
  QueuedRequest request = std::move(aQueue.front());
  aQueue.pop_front();
  return request;
}

/// Takes the next request of a rank that has one.
QueuedRequest
TakeFromRank(RankQueue& aRank)
{
  if (!aRank.mInTransactions.empty()) {
    return TakeFirst(aRank.mInTransactions);
  }
  ServiceQueue& queue = ChooseService(aRank);
  aRank.mVirtualTime = queue.mVirtualTime;
  --aRank.mSize;
  return TakeFirst(queue.mWaiting);
}

/// Takes the oldest request of all ranks.
std::optional<QueuedRequest>
TakeOldest(SchedulerState& aScheduler, const FreeResources& aFree)
{
  RankQueue* oldestRank = nullptr;
  std::deque<QueuedRequest>* oldest = nullptr;
  const auto consider = [&](RankQueue& aRank,
                            std::deque<QueuedRequest>& aQueue) {
    const bool older = !aQueue.empty() &&
                       (oldest == nullptr ||
                        aQueue.front().mArrivedAt < oldest->front().mArrivedAt);
    if (older) {
      oldestRank = &aRank;
      oldest = &aQueue;
    }
  };
  for (RankQueue& rank : aScheduler.mRanks) {
    consider(rank, rank.mInTransactions);
    for (auto& [service, queue] : rank.mServices) {
      if (aFree.mConnection) {
        consider(rank, queue.mWaiting);
      }
    }
  }
  if (oldest == nullptr) {
    return std::nullopt;
  }
  if (oldest != &oldestRank->mInTransactions) {
    --oldestRank->mSize;
  }
  return TakeFirst(*oldest);
}

std::optional<QueuedRequest>
TakeRanked(SchedulerState& aScheduler,
           const FreeResources& aFree,
           Instant aNow,
           std::optional<Duration>& aStartDelay)
{
  const std::optional<Rank> rank = ChooseRank(aScheduler, aFree);
  if (!rank) {
    return std::nullopt;
  }
  const Duration kept = LastSlotDelay(aScheduler, aFree, *rank, aNow);
  if (kept > Duration{ 0 }) {
    aStartDelay = kept;
    return std::nullopt;
  }
  return TakeFromRank(aScheduler.mRanks[IndexOf(*rank)]);
}

/// The service that a request belongs to.
ServiceQueue&
ServiceOf(SchedulerState& aScheduler, const QueuedRequest& aRequest)
{
  return aScheduler.mRanks[IndexOf(aRequest.mRequest.mRank)]
    .mServices[aRequest.mRequest.mService];
}

}

Choice
ChooseNext(SchedulerState& aScheduler,
           const Configuration& aConfiguration,
           const FreeResources& aFree,
           Instant aNow)
{
  Choice choice;
  while (aFree.mRunning < aFree.mLimit) {
    std::optional<QueuedRequest> next =
      aConfiguration.mPolicy.mScheduling == Scheduling::Ranked
        ? TakeRanked(aScheduler, aFree, aNow, choice.mStartDelay)
        : TakeOldest(aScheduler, aFree);
    if (!next) {
      break;
    }
    ServiceQueue& service = ServiceOf(aScheduler, *next);
    if (aNow + LowServiceTime(service.mServiceTime) > next->mDeadline) {
      choice.mUnmeetable.push_back(std::move(*next));
      continue;
    }
    next->mCharged = ExpectedServiceTime(service.mServiceTime);
    service.mVirtualTime += next->mCharged;
    Charge(aScheduler, aConfiguration, next->mRequest.mRank, next->mCharged);
    aScheduler.mLastStart = aNow;
    choice.mNext = std::move(next);
    break;
  }
  return choice;
}

void
SettleCharge(SchedulerState& aScheduler,
             const Configuration& aConfiguration,
             const QueuedRequest& aRequest,
             Duration aSlotTime)
{
  ServiceQueue& service = ServiceOf(aScheduler, aRequest);
  const Duration difference = aSlotTime - aRequest.mCharged;
  service.mVirtualTime += difference;
  Charge(aScheduler, aConfiguration, aRequest.mRequest.mRank, difference);
  AddSample(service.mServiceTime, aSlotTime);
  AddSample(aScheduler.mServiceTime, aSlotTime);
}

}
