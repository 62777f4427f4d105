#include "Backend/Admission.h"

#include <algorithm>

namespace camphorstep::gateway {

namespace {

/// Weight of a new measurement in a smoothed time, as a divisor.
constexpr int kSmoothing = 8;
/// The time reserved for the run of a statement, in response times. Responses
/// of a crowded server vary by about as much as they last.
constexpr int kReservedResponses = 2;
/// Bounds of the reserved time, as divisors of the statement's time limit.
constexpr int kLeastReserveDivisor = 10;
constexpr int kMostReserveDivisor = 2;
/// The same for a server that has not answered a statement yet.
constexpr int kDefaultReserveDivisor = 5;
/// A wait counts as hopeless if it is this many times as long as the time left.
/// Statements ahead may give up, and the pace may pick up.
constexpr int kHopelessFactor = 2;

Duration
Smooth(Duration aMean, Duration aSample)
{
  return aMean == Duration{ 0 } ? aSample
                                : aMean + (aSample - aMean) / kSmoothing;
}

}

void
RecordStart(ServerPace& aPace, Instant aNow, bool aIsQueueWaiting)
{
  if (aPace.mIsQueueWaiting) {
    aPace.mStartInterval =
      Smooth(aPace.mStartInterval, aNow - aPace.mLastStartAt);
  }
  aPace.mLastStartAt = aNow;
  aPace.mIsQueueWaiting = aIsQueueWaiting;
}

void
RecordResponse(ServerPace& aPace, Duration aResponseTime)
{
  aPace.mResponseTime = Smooth(aPace.mResponseTime, aResponseTime);
}

Instant
LatestStart(const ServerPace& aPace, Instant aArrivedAt, Instant aDeadline)
{
  const Duration limit = aDeadline - aArrivedAt;
  if (aPace.mResponseTime == Duration{ 0 }) {
    return aDeadline - limit / kDefaultReserveDivisor;
  }
  return aDeadline - std::clamp(aPace.mResponseTime * kReservedResponses,
                                limit / kLeastReserveDivisor,
                                limit / kMostReserveDivisor);
}

Duration
QueueWait(const ServerPace& aPace, std::size_t aAhead)
{
  return aPace.mStartInterval * static_cast<Duration::rep>(aAhead);
}

bool
IsWaitHopeless(const ServerPace& aPace,
               std::size_t aAhead,
               Instant aNow,
               Instant aLatestStart)
{
  return QueueWait(aPace, aAhead) > (aLatestStart - aNow) * kHopelessFactor;
}

bool
IsOutageHopeless(Duration aLossTime, Duration aTimeLeft)
{
  return aLossTime > aTimeLeft * kHopelessFactor;
}

}
