#pragma once

#include <optional>
#include <vector>

#include "Common/Time.h"
#include "Dispatcher/DispatcherState.h"
#include "Model/Profile.h"

namespace camphorstep {

/// The resources available when a request is chosen.
struct FreeResources
{
  /// The concurrency limit and the number of running statements.
  int mLimit = 0;
  int mRunning = 0;
  /// Whether a connection is free for a request without a transaction.
  bool mConnection = false;
};

/// The scheduler's decision.
struct Choice
{
  std::optional<QueuedRequest> mNext;
  /// Requests whose deadline can no longer be met.
  std::vector<QueuedRequest> mUnmeetable;
  /// How long to wait before the next start, if it was delayed.
  std::optional<Duration> mStartDelay;
};

/// Takes the request that is to run next.
///
/// Each rank is entitled to its reserved share of the used slot time. Ranks
/// that have had less than their share come first, by urgency, then the others,
/// by urgency. So the most urgent rank is served first unless it has used more
/// than its share while another has used less. No slot stays idle for a rank
/// without work. Within a rank, the service that has used the least slot time
/// is next.
///
/// While urgent requests arrive, a less urgent request takes the last free slot
/// only some time after the latest start. Otherwise the slots would fill and
/// empty together, and an urgent request that finds them full would wait for a
/// whole statement instead of a fraction of one.
Choice ChooseNext(SchedulerState& aScheduler,
                  const Configuration& aConfiguration,
                  const FreeResources& aFree,
                  Instant aNow);

/// Corrects the charge for a completed request to the time that it held its
/// slot, and updates the expected service times.
void SettleCharge(SchedulerState& aScheduler,
                  const Configuration& aConfiguration,
                  const QueuedRequest& aRequest,
                  Duration aSlotTime);

}
