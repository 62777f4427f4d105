#include "Membership/Stopping.h"

#include <vector>

#include "Dispatcher/Dispatcher.h"
#include "Entry/Completion.h"
#include "Keeper/Keeper.h"
#include "Membership/Membership.h"
#include "Reducer/Context.h"
#include "Reducer/SeededFaults.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// Time allowed for answers to leave the host after the core has emitted them.
constexpr Duration kAnswerFlushDelay = std::chrono::milliseconds(300);

bool
IsIdle(const State& aState)
{
  if (IsSeeded(SeededFault::DropAtStop)) {
    return true;
  }
  return aState.mEntry.mPending.empty() &&
         aState.mConfiguration.mPublications.empty() &&
         IsDispatcherIdle(aState.mDispatcher) && IsKeeperIdle(aState);
}

/// Answers all pending requests with ResultCode::Stopping.
void
FailPendingRequests(Context& aContext)
{
  std::vector<RequestId> ids;
  for (const auto& [id, pending] : aContext.mState.mEntry.mPending) {
    ids.push_back(id);
  }
  for (const RequestId id : ids) {
    PendingRequest& pending = aContext.mState.mEntry.mPending.at(id);
    pending.mMayHaveRun = pending.mMayHaveRun || pending.mDispatcher;
    FinishWithError(aContext, id, ResultCode::Stopping);
  }
}

}

void
BeginStop(Context& aContext)
{
  State& state = aContext.mState;
  if (state.mStopping) {
    return;
  }
  state.mStopping = true;
  state.mStop.mRequestedAt = aContext.mNow;
  LogRecord(aContext, LogSeverity::Info, "planned stop begins");
  SendHeartbeatToAllPeers(aContext);
}

bool
RefusesNewWork(const Context& aContext)
{
  const State& state = aContext.mState;
  return state.mStopping &&
         aContext.mNow - state.mStop.mRequestedAt >= state.mStop.mNoticeDelay;
}

void
TickStop(Context& aContext)
{
  State& state = aContext.mState;
  if (!RefusesNewWork(aContext)) {
    return;
  }
  if (aContext.mNow - state.mStop.mRequestedAt >= state.mStop.mTimeout) {
    FailPendingRequests(aContext);
  }
  const bool expired = aContext.mNow - state.mStop.mRequestedAt >=
                       state.mStop.mTimeout + kAnswerFlushDelay;
  const bool idle = IsIdle(state);
  if (idle && !state.mStop.mIdle) {
    state.mStop.mIdleSince = aContext.mNow;
  }
  state.mStop.mIdle = idle;
  const bool idleLongEnough =
    idle && aContext.mNow - state.mStop.mIdleSince >= kAnswerFlushDelay;
  if (idleLongEnough || expired) {
    LogRecord(aContext,
              idleLongEnough ? LogSeverity::Info : LogSeverity::Warning,
              idleLongEnough ? "planned stop complete"
                             : "planned stop gave up what was in progress");
    Emit(aContext, StopComplete{});
  }
}

}
