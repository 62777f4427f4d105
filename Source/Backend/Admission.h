#pragma once

#include <cstddef>

#include "Common/Time.h"

namespace camphorstep::gateway {

/// How fast a server takes and answers this host's statements. A pace without
/// measurements has zero durations.
struct ServerPace
{
  /// The smoothed time between two starts while statements were waiting.
  Duration mStartInterval{ 0 };
  /// The smoothed time from the sending of a statement to its answer.
  Duration mResponseTime{ 0 };
  Instant mLastStartAt;
  /// Whether statements have been waiting since the last start.
  bool mIsQueueWaiting = false;
};

/// Records that a queued statement was started, and whether others still wait.
void RecordStart(ServerPace& aPace, Instant aNow, bool aIsQueueWaiting);

/// Records the time that the server took to answer a statement.
void RecordResponse(ServerPace& aPace, Duration aResponseTime);

/// The latest time at which a statement can be sent so that its answer is
/// likely to arrive before its deadline. A write that is sent later would end
/// with an unknown outcome.
Instant LatestStart(const ServerPace& aPace,
                    Instant aArrivedAt,
                    Instant aDeadline);

/// How long a statement with a number of statements ahead of it is expected to
/// wait; zero if the server's pace is not known.
Duration QueueWait(const ServerPace& aPace, std::size_t aAhead);

/// Whether a statement with a number of statements ahead of it in the queue
/// certainly cannot be started before its latest start.
bool IsWaitHopeless(const ServerPace& aPace,
                    std::size_t aAhead,
                    Instant aNow,
                    Instant aLatestStart);

/// Whether a statement that needs the primary of a group is unlikely to get one
/// before its deadline: the group has had none for far longer than the time
/// that is left.
bool IsOutageHopeless(Duration aLossTime, Duration aTimeLeft);

}
