#include "Dispatcher/Queue.h"

#include <algorithm>
#include <iterator>

#include "Dispatcher/ServiceTime.h"

namespace camphorstep {

namespace {

/// Services with empty queues are removed once a rank has more services than
/// this.
constexpr std::size_t kMaxIdleServices = 64;

/// The earliest time at which a request that joins a service's queue can
/// complete, assuming that the service gets all slots.
Instant
EarliestCompletion(const ServiceQueue& aQueue, int aLimit, Instant aNow)
{
  const Duration fastest = LowServiceTime(aQueue.mServiceTime);
  const auto rounds =
    static_cast<std::int64_t>(aQueue.mWaiting.size()) / std::max(1, aLimit);
  return aNow + fastest * (rounds + 1);
}

ServiceQueue&
LongestServiceQueue(RankQueue& aRank)
{
  const auto it = std::max_element(aRank.mServices.begin(),
                                   aRank.mServices.end(),
                                   [](const auto& aFirst, const auto& aSecond) {
                                     return aFirst.second.mWaiting.size() <
                                            aSecond.second.mWaiting.size();
                                   });
  return it->second;
}

void
RemoveIdleServices(RankQueue& aRank)
{
  if (aRank.mServices.size() > kMaxIdleServices) {
    std::erase_if(aRank.mServices, [](const auto& aItem) {
      return aItem.second.mWaiting.empty();
    });
  }
}

/// Moves the matching items to the end of aTaken and returns their number.
template<typename Condition>
std::size_t
TakeMatching(std::deque<QueuedRequest>& aQueue,
             const Condition& aCondition,
             std::vector<QueuedRequest>& aTaken)
{
  const auto it = std::stable_partition(
    aQueue.begin(), aQueue.end(), [&aCondition](const QueuedRequest& aItem) {
      return !aCondition(aItem);
    });
  const auto count = static_cast<std::size_t>(std::distance(it, aQueue.end()));
  std::move(it, aQueue.end(), std::back_inserter(aTaken));
  aQueue.erase(it, aQueue.end());
  return count;
}

}

EnqueueResult
Enqueue(ServerDispatch& aDispatch,
        const RankRules& aRules,
        int aLimit,
        QueuedRequest aRequest)
{
  RankQueue& rank =
    aDispatch.mScheduler.mRanks[IndexOf(aRequest.mRequest.mRank)];
  rank.mLastRequestAtByOrigin[aRequest.mOrigin] = aRequest.mArrivedAt;
  RemoveIdleServices(rank);
  ServiceQueue& queue = rank.mServices[aRequest.mRequest.mService];
  if (EarliestCompletion(queue, aLimit, aRequest.mArrivedAt) >
      aRequest.mDeadline) {
    return { ResultCode::DeadlineExceeded, std::nullopt };
  }
  EnqueueResult result;
  if (rank.mSize >= static_cast<std::size_t>(aRules.mMaxQueued)) {
    ServiceQueue& longest = LongestServiceQueue(rank);
    if (longest.mWaiting.size() <= queue.mWaiting.size() + 1) {
      return { ResultCode::Overloaded, std::nullopt };
    }
    result.mShed = std::move(longest.mWaiting.back());
    longest.mWaiting.pop_back();
    --rank.mSize;
  }
  if (queue.mWaiting.empty()) {
    queue.mVirtualTime = std::max(queue.mVirtualTime, rank.mVirtualTime);
  }
  queue.mWaiting.push_back(std::move(aRequest));
  ++rank.mSize;
  return result;
}

bool
EnqueueInTransaction(ServerDispatch& aDispatch, QueuedRequest aRequest)
{
  RankQueue& rank =
    aDispatch.mScheduler.mRanks[IndexOf(aRequest.mRequest.mRank)];
  const bool waits = std::any_of(rank.mInTransactions.begin(),
                                 rank.mInTransactions.end(),
                                 [&aRequest](const QueuedRequest& aItem) {
                                   return aItem.mRequest.mTransaction ==
                                          aRequest.mRequest.mTransaction;
                                 });
  if (waits) {
    return false;
  }
  rank.mInTransactions.push_back(std::move(aRequest));
  return true;
}

std::vector<QueuedRequest>
TakeQueuedIf(ServerDispatch& aDispatch,
             const std::function<bool(const QueuedRequest&)>& aCondition)
{
  std::vector<QueuedRequest> taken;
  TakeMatching(aDispatch.mScheduler.mAwaitingPosition, aCondition, taken);
  TakeMatching(aDispatch.mScheduler.mAwaitingTransactionCap, aCondition, taken);
  for (RankQueue& rank : aDispatch.mScheduler.mRanks) {
    TakeMatching(rank.mInTransactions, aCondition, taken);
    for (auto& [service, queue] : rank.mServices) {
      rank.mSize -= TakeMatching(queue.mWaiting, aCondition, taken);
    }
  }
  return taken;
}

bool
RemoveQueued(ServerDispatch& aDispatch, RequestId aRequest)
{
  const auto taken =
    TakeQueuedIf(aDispatch, [aRequest](const QueuedRequest& aItem) {
      return aItem.mRequest.mId == aRequest;
    });
  return !taken.empty();
}

std::vector<QueuedRequest>
TakeForPrimary(ServerDispatch& aDispatch)
{
  return TakeQueuedIf(aDispatch, [](const QueuedRequest& aItem) {
    return aItem.mRequest.mNeedsPrimary;
  });
}

std::vector<QueuedRequest>
TakeExpired(ServerDispatch& aDispatch, Instant aNow)
{
  return TakeQueuedIf(aDispatch, [aNow](const QueuedRequest& aItem) {
    return aItem.mDeadline <= aNow;
  });
}

std::size_t
CountQueued(const ServerDispatch& aDispatch)
{
  std::size_t count = 0;
  for (const RankQueue& rank : aDispatch.mScheduler.mRanks) {
    count += rank.mSize;
  }
  return count;
}

bool
IsQueueEmpty(const ServerDispatch& aDispatch)
{
  return aDispatch.mScheduler.mAwaitingPosition.empty() &&
         aDispatch.mScheduler.mAwaitingTransactionCap.empty() &&
         std::all_of(aDispatch.mScheduler.mRanks.begin(),
                     aDispatch.mScheduler.mRanks.end(),
                     [](const RankQueue& aRank) {
                       return aRank.mSize == 0 && aRank.mInTransactions.empty();
                     });
}

}
