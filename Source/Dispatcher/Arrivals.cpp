#include "Dispatcher/Arrivals.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Dispatcher/Answers.h"
#include "Dispatcher/Queue.h"
#include "Dispatcher/TransactionCaps.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

void
Refuse(Context& aContext,
       const ServerDispatch& aDispatch,
       const QueuedRequest& aQueued,
       ResultCode aCode)
{
  AnswerFailure(aContext, aDispatch, aQueued, aCode, Outcome::NotRun);
}

bool
QueueOrRefuse(Context& aContext,
              ServerDispatch& aDispatch,
              const QueuedRequest& aQueued)
{
  const State& state = aContext.mState;
  const Configuration& configuration = state.mConfiguration.mCurrent;
  const Server& server = *state.mTopology.FindServer(aQueued.mRequest.mServer);
  const Rank rank = aQueued.mRequest.mRank;
  const int limit = LimitOf(
    aDispatch.mLimit, server.mSlots, configuration.mPolicy.mAdaptiveLimit);
  const EnqueueResult result =
    Enqueue(aDispatch, configuration.mRanks[IndexOf(rank)], limit, aQueued);
  if (result.mShed) {
    Refuse(aContext, aDispatch, *result.mShed, ResultCode::Overloaded);
  }
  if (result.mCode != ResultCode::Ok) {
    Refuse(aContext, aDispatch, aQueued, result.mCode);
  }
  return result.mCode == ResultCode::Ok;
}

bool
IsOverTransactionCap(const Context& aContext,
                     const ServerDispatch& aDispatch,
                     const QueuedRequest& aQueued)
{
  const State& state = aContext.mState;
  return aQueued.mRequest.mOperation == ServerOperation::Begin &&
         !CanBeginTransaction(
           aDispatch,
           *state.mTopology.FindServer(aQueued.mRequest.mServer),
           state.mConfiguration.mCurrent,
           aQueued.mRequest.mRank);
}

/// Whether the latest sample shows that the server has not applied the position
/// that a read needs.
bool
IsBehind(const ServerDispatch& aDispatch, const QueuedRequest& aQueued)
{
  return !aQueued.mRequest.mNeedsPrimary && aDispatch.mSample &&
         aDispatch.mSample->mView.mApplied < aQueued.mRequest.mMinPosition;
}

}

bool
Admit(Context& aContext, ServerDispatch& aDispatch, QueuedRequest aQueued)
{
  if (IsBehind(aDispatch, aQueued)) {
    aDispatch.mScheduler.mAwaitingPosition.push_back(std::move(aQueued));
    return true;
  }
  if (IsOverTransactionCap(aContext, aDispatch, aQueued)) {
    return AwaitTransactionCap(aContext, aDispatch, std::move(aQueued));
  }
  return QueueOrRefuse(aContext, aDispatch, aQueued);
}

bool
AwaitTransactionCap(Context& aContext,
                    ServerDispatch& aDispatch,
                    QueuedRequest aQueued)
{
  std::deque<QueuedRequest>& waiting =
    aDispatch.mScheduler.mAwaitingTransactionCap;
  const Rank rank = aQueued.mRequest.mRank;
  const auto ofRank = std::count_if(
    waiting.begin(), waiting.end(), [rank](const QueuedRequest& aItem) {
      return aItem.mRequest.mRank == rank;
    });
  const RankRules& rules =
    aContext.mState.mConfiguration.mCurrent.mRanks[IndexOf(rank)];
  if (ofRank >= rules.mMaxQueued) {
    Refuse(aContext, aDispatch, aQueued, ResultCode::TransactionLimit);
    return false;
  }
  waiting.push_back(std::move(aQueued));
  return true;
}

void
QueueTransactionsUnderCap(Context& aContext, ServerDispatch& aDispatch)
{
  std::deque<QueuedRequest>& waiting =
    aDispatch.mScheduler.mAwaitingTransactionCap;
  for (const Rank rank : kRanks) {
    const auto it = std::find_if(
      waiting.begin(), waiting.end(), [rank](const QueuedRequest& aItem) {
        return aItem.mRequest.mRank == rank;
      });
    // At most one per rank and call, because a queued transaction does not
    // count as open until its Begin is sent.
    if (it != waiting.end() &&
        !IsOverTransactionCap(aContext, aDispatch, *it)) {
      const QueuedRequest queued = std::move(*it);
      waiting.erase(it);
      QueueOrRefuse(aContext, aDispatch, queued);
    }
  }
}

void
QueueReadsAtPosition(Context& aContext, ServerDispatch& aDispatch)
{
  std::deque<QueuedRequest> waiting =
    std::exchange(aDispatch.mScheduler.mAwaitingPosition, {});
  for (QueuedRequest& queued : waiting) {
    const Duration waited = aContext.mNow - queued.mArrivedAt;
    if (!IsBehind(aDispatch, queued)) {
      QueueOrRefuse(aContext, aDispatch, queued);
    } else if (waited >= queued.mRequest.mReplicaWait) {
      Refuse(aContext, aDispatch, queued, ResultCode::ReplicaBehind);
    } else {
      aDispatch.mScheduler.mAwaitingPosition.push_back(std::move(queued));
    }
  }
}

}
