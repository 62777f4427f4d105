#include "Gateway/Stopping.h"

#include <vector>

#include "Gateway/Readiness.h"
#include "Gateway/Tuning.h"
#include "Group/Promoter.h"
#include "Relay/RelayedSessions.h"
#include "Session/Sessions.h"
#include "Session/Transactions.h"

namespace camphorstep::gateway {

namespace {

constexpr Duration kStopCheckInterval = 100ms;
/// How long a stopping host waits for the next statement of a caller that has
/// just opened a session or prepared something in it.
constexpr Duration kNextStatementTimeout = 300ms;

/// Whether a planned stop is in progress and a percentage of its grace time has
/// passed.
bool
HasStopTimePassed(const Context& aContext, int aPercent)
{
  const State& state = aContext.mState;
  return state.mStop.mUnderway && aContext.mNow - state.mStop.mStartedAt >=
                                    state.mSelf.mStopGrace * aPercent / 100;
}

std::vector<SessionId>
AllSessions(const Context& aContext)
{
  std::vector<SessionId> ids;
  for (const auto& [id, session] : aContext.mState.mSessions) {
    ids.push_back(id);
  }
  return ids;
}

void
CloseNow(Context& aContext, SessionId aSession)
{
  Emit(aContext, CloseSession{ aSession });
  HandleSessionEnded(aContext, SessionEnded{ aSession });
}

void
EndOpenTransactions(Context& aContext)
{
  for (const SessionId id : AllSessions(aContext)) {
    const Session* const session = Find(aContext.mState.mSessions, id);
    if (session != nullptr && !session->mActive) {
      CloseNow(aContext, id);
    }
  }
}

void
CompleteStop(Context& aContext)
{
  Stop& stop = aContext.mState.mStop;
  if (stop.mComplete) {
    return;
  }
  stop.mComplete = true;
  Log(aContext,
      LogSeverity::Info,
      "planned stop is complete",
      { { "sessions", std::to_string(aContext.mState.mSessions.size()) },
        { "took_ms", Milliseconds(aContext.mNow - stop.mStartedAt) } });
  Emit(aContext, StopComplete{});
}

}

void
BeginStop(Context& aContext)
{
  Stop& stop = aContext.mState.mStop;
  if (stop.mUnderway) {
    return;
  }
  stop.mUnderway = true;
  stop.mStartedAt = aContext.mNow;
  Log(aContext,
      LogSeverity::Info,
      "planned stop",
      { { "sessions", std::to_string(aContext.mState.mSessions.size()) } });
  UpdateReadiness(aContext);
  MaintainPromoterLease(aContext);
  Emit(aContext,
       RemoveHostEntry{ NewId<CallId>(aContext),
                        aContext.mState.mSelf.mEntry.mName });
  ContinueStop(aContext);
}

void
ContinueStop(Context& aContext)
{
  if (!aContext.mState.mStop.mUnderway) {
    return;
  }
  for (const SessionId id : AllSessions(aContext)) {
    if (Session* const session = Find(aContext.mState.mSessions, id)) {
      CloseIdleSessionAtStop(aContext, *session);
    }
  }
  CloseIdleRelayedSessions(aContext);
  if (HasStopTimePassed(aContext, kStopTransactionPercent)) {
    EndOpenTransactions(aContext);
    CloseRelayedTransactions(aContext);
  }
  if (HasStopTimePassed(aContext, kStopEndPercent)) {
    CompleteStop(aContext);
  }
  CompleteStopIfIdle(aContext);
  aContext.mState.mTimers.Arm(
    TimerKind::Stop, 0, aContext.mNow + kStopCheckInterval);
}

void
CloseIdleSessionAtStop(Context& aContext, Session& aSession)
{
  if (!aContext.mState.mStop.mUnderway || aSession.mActive ||
      !aSession.mPipeline.empty() ||
      aSession.mTransaction.mState != TransactionState::None) {
    return;
  }
  if (!IsStatementDue(
        aContext, aSession.mIsStatementExpected, aSession.mIdleSince)) {
    CloseNow(aContext, aSession.mId);
  }
}

bool
IsStatementDue(const Context& aContext, bool aIsExpected, Instant aIdleSince)
{
  return aIsExpected && aContext.mNow - aIdleSince < kNextStatementTimeout;
}

void
CompleteStopIfIdle(Context& aContext)
{
  const State& state = aContext.mState;
  if (state.mSessions.empty() && state.mRelays.mSessions.empty() &&
      IsRefusingSessions(aContext)) {
    CompleteStop(aContext);
  }
}

bool
IsRefusingSessions(const Context& aContext)
{
  return HasStopTimePassed(aContext, kStopNoticePercent);
}

}
