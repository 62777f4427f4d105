#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "Dispatcher/DispatcherState.h"
#include "Model/ResultCode.h"

namespace camphorstep {

/// The result of queueing a request.
struct EnqueueResult
{
  /// Ok, or why the request was not queued.
  ResultCode mCode = ResultCode::Ok;
  /// A request that was removed to make room.
  std::optional<QueuedRequest> mShed;
};

/// Queues a request behind those of its service. A full rank sheds the latest
/// request of the service with the longest queue, so that no service can block
/// the others of its rank. Refuses requests whose deadline cannot be met even
/// if the service gets all slots.
EnqueueResult Enqueue(ServerDispatch& aDispatch,
                      const RankRules& aRules,
                      int aLimit,
                      QueuedRequest aRequest);

/// Queues a statement of an open transaction. Returns false if one is already
/// waiting.
bool EnqueueInTransaction(ServerDispatch& aDispatch, QueuedRequest aRequest);

/// Removes a waiting request. Returns false if it is not waiting.
bool RemoveQueued(ServerDispatch& aDispatch, RequestId aRequest);

/// Removes and returns the waiting requests that only a primary may serve.
std::vector<QueuedRequest> TakeForPrimary(ServerDispatch& aDispatch);

/// Removes and returns the waiting requests whose deadlines have passed.
std::vector<QueuedRequest> TakeExpired(ServerDispatch& aDispatch, Instant aNow);

/// Removes and returns the waiting requests that match a condition.
std::vector<QueuedRequest> TakeQueuedIf(
  ServerDispatch& aDispatch,
  const std::function<bool(const QueuedRequest&)>& aCondition);

/// Counts the requests queued by service. Excludes statements of open
/// transactions and requests that wait for a position or a transaction cap.
std::size_t CountQueued(const ServerDispatch& aDispatch);

/// Whether no request waits for any reason.
bool IsQueueEmpty(const ServerDispatch& aDispatch);

}
