#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "Common/Time.h"
#include "Messages/PeerMessage.h"
#include "Model/Ids.h"
#include "Model/Profile.h"

namespace camphorstep {

/// A request that waits for a slot and a connection.
struct QueuedRequest
{
  ForwardRequest mRequest;
  HostId mOrigin;
  Instant mArrivedAt{};
  Instant mDeadline{};
  /// The expected slot time charged to the rank and the service.
  Duration mCharged{ 0 };
};

/// Smoothed time that statements hold a slot.
struct ServiceTime
{
  bool mHasSamples = false;
  Duration mMean{ 0 };
  Duration mDeviation{ 0 };
};

/// The waiting requests of one service.
struct ServiceQueue
{
  std::deque<QueuedRequest> mWaiting;
  /// Slot time used so far, in the virtual time of the rank.
  Duration mVirtualTime{ 0 };
  ServiceTime mServiceTime;
};

/// The waiting requests of one rank.
struct RankQueue
{
  /// By service name, in a fixed order.
  std::map<std::string, ServiceQueue> mServices;
  /// Statements of open transactions. They hold connections, so they go
  /// before the other requests of the rank.
  std::deque<QueuedRequest> mInTransactions;
  /// Requests waiting in mServices.
  std::size_t mSize = 0;
  /// The virtual time of the service that was served last.
  Duration mVirtualTime{ 0 };
  /// Unused slot time of the reserved share; negative if the rank has used more
  /// than its share.
  Duration mCredit{ 0 };
  /// Requests that all entry hosts together may have in flight. Zero until
  /// first set.
  std::size_t mWindow = 0;
  Instant mWindowAdjusted{};
  /// When a check last found no delayed request.
  Instant mLastShortWaitAt{};
  /// When each entry host last sent a request of this rank.
  std::map<HostId, Instant> mLastRequestAtByOrigin;
};

struct SchedulerState
{
  std::array<RankQueue, kRankCount> mRanks;
  /// Reads that wait until the server has applied their position.
  std::deque<QueuedRequest> mAwaitingPosition;
  /// Transactions that wait to begin until another one ends.
  std::deque<QueuedRequest> mAwaitingTransactionCap;
  ServiceTime mServiceTime;
  /// When the latest request was started.
  Instant mLastStart{};
};

}
