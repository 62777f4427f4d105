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
constexpr Duration kAnswerLinger = std::chrono::milliseconds(300);

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
GiveUpPending(Context& aContext)
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
  TellAllPeers(aContext);
}

bool
RefusesNewWork(const Context& aContext)
{
  const State& state = aContext.mState;
  return state.mStopping &&
         aContext.mNow - state.mStop.mRequestedAt >= state.mStop.mNotice;
}

void
TickStop(Context& aContext)
{
  State& state = aContext.mState;
  if (!RefusesNewWork(aContext)) {
    return;
  }
  if (aContext.mNow - state.mStop.mRequestedAt >= state.mStop.mTimeout) {
    GiveUpPending(aContext);
  }
  const bool expired = aContext.mNow - state.mStop.mRequestedAt >=
                       state.mStop.mTimeout + kAnswerLinger;
  const bool idle = IsIdle(state);
  if (idle && !state.mStop.mIdle) {
    state.mStop.mIdleSince = aContext.mNow;
  }
  state.mStop.mIdle = idle;
  const bool settled =
    idle && aContext.mNow - state.mStop.mIdleSince >= kAnswerLinger;
  if (settled || expired) {
    LogRecord(aContext,
              settled ? LogSeverity::Info : LogSeverity::Warning,
              settled ? "planned stop complete"
                      : "planned stop gave up what was in progress");
    Emit(aContext, StopComplete{});
  }
}

}
