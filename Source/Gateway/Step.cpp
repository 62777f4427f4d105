#include "Gateway/Step.h"

#include "Backend/Links.h"
#include "Backend/Pool.h"
#include "Catalogue/Servers.h"
#include "Catalogue/Tables.h"
#include "Fleet/Following.h"
#include "Fleet/Reports.h"
#include "Gateway/Context.h"
#include "Gateway/Readiness.h"
#include "Gateway/Stopping.h"
#include "Gateway/Tuning.h"
#include "Group/Promoter.h"
#include "Group/Sampling.h"
#include "Group/Takeover.h"
#include "RateLimits/RateLimits.h"
#include "Relay/RelayedSessions.h"
#include "Session/Execution.h"
#include "Session/Outcomes.h"
#include "Session/Sessions.h"

namespace camphorstep::gateway {

namespace {

/// Dispatches events to the subsystems that handle them.
struct EventHandler
{
  Context& mContext;

  void operator()(const SessionOpened& aEvent) const
  {
    HandleSessionOpened(mContext, aEvent);
  }
  void operator()(const StatementReceived& aEvent) const
  {
    HandleStatementReceived(mContext, aEvent);
  }
  void operator()(const SessionEnded& aEvent) const
  {
    HandleSessionEnded(mContext, aEvent);
  }
  void operator()(const LinkReady& aEvent) const
  {
    HandleLinkReady(mContext, aEvent);
  }
  void operator()(const LinkClosed& aEvent) const
  {
    HandleLinkClosed(mContext, aEvent);
  }
  void operator()(const LinkReplied& aEvent) const
  {
    HandleLinkReplied(mContext, aEvent);
  }
  void operator()(const TableAnswer& aEvent) const
  {
    HandleTableAnswer(mContext, aEvent);
  }
  void operator()(const StoreWritten& aEvent) const
  {
    HandleStoreWritten(mContext, aEvent);
  }
  void operator()(const PromoteAnswered& aEvent) const
  {
    HandlePromoteAnswered(mContext, aEvent);
  }
  void operator()(const PeerQueryReceived& aEvent) const
  {
    HandlePeerAsked(mContext, aEvent);
  }
  void operator()(const PeerConnectionLost&) const { HandlePeerLost(mContext); }
  void operator()(const PeerReportArriving&) const
  {
    HandlePeerReportArriving(mContext);
  }
  void operator()(const RateLimitQueryReceived& aEvent) const
  {
    HandleRateLimitQuery(mContext, aEvent);
  }
  void operator()(const RateLimitReportReceived& aEvent) const
  {
    HandleRateLimitReport(mContext, aEvent);
  }
  void operator()(const PeerReport& aEvent) const
  {
    HandlePeerReported(mContext, aEvent);
  }
  void operator()(const RelayResponse& aEvent) const
  {
    HandleRelayResponse(mContext, aEvent);
  }
  void operator()(const RelayStatementUnsent& aEvent) const
  {
    HandleRelayStatementUnsent(mContext, aEvent);
  }
  void operator()(const RelayConnectionLost& aEvent) const
  {
    HandleRelayConnectionLost(mContext, aEvent);
  }
  void operator()(const SettingsChanged& aEvent) const
  {
    mContext.mState.mSelf.mRegions = aEvent.mRegions;
    mContext.mState.mSelf.mStopGrace = aEvent.mStopGrace;
    mContext.mState.mRateLimits.mBounds = aEvent.mLimitBounds;
    mContext.mState.mSelf.mMaxSessionBytes = aEvent.mMaxSessionBytes;
    mContext.mState.mSelf.mIsRelaying = aEvent.mIsRelaying;
    mContext.mState.mSelf.mRevokeTimeout = aEvent.mRevokeTimeout;
    UpdateReadiness(mContext);
  }
  void operator()(const StopRequested&) const { BeginStop(mContext); }
  void operator()(const TimePassed&) const {}
};

void
HandleTimer(Context& aContext, TimerKind aKind, std::uint64_t aId)
{
  State& state = aContext.mState;
  switch (aKind) {
    case TimerKind::Statement:
      HandleStatementTimer(aContext, SessionId{ aId });
      break;
    case TimerKind::Retry:
      HandleRetryTimer(aContext, SessionId{ aId });
      break;
    case TimerKind::IdleTransaction:
      EndIdleTransaction(aContext, SessionId{ aId });
      break;
    case TimerKind::SampleGroup:
      if (Group* const group = Find(state.mGroups, GroupId{ aId })) {
        SampleGroup(aContext, *group);
      }
      break;
    case TimerKind::Pool:
      if (Backend* const backend = Find(state.mBackends, ServerId{ aId })) {
        MaintainPool(aContext, *backend);
      }
      break;
    case TimerKind::PollTable:
      PollTable(aContext, static_cast<Table>(aId));
      break;
    case TimerKind::RegisterHost:
      RegisterHost(aContext);
      break;
    case TimerKind::PromoterLease:
      MaintainPromoterLease(aContext);
      break;
    case TimerKind::QueryPeer:
      FollowSource(aContext);
      break;
    case TimerKind::SendPeerReports:
      AnswerPendingQueries(aContext);
      break;
    case TimerKind::Shares:
      ExchangeShares(aContext);
      break;
    case TimerKind::TokenRequests:
      ExpireTokenRequests(aContext, AccountId{ aId });
      break;
    case TimerKind::ConfigurationAge:
      UpdateReadiness(aContext);
      break;
    case TimerKind::Stop:
      ContinueStop(aContext);
      break;
    case TimerKind::Relay:
      HandleRelayTimer(aContext, SessionId{ aId });
      break;
  }
}

/// Detects that the process was stalled: its timers fire more often than
/// kHostStallTimeout, so a longer gap between events means that it did not run.
void
DetectHostStall(Context& aContext)
{
  State& state = aContext.mState;
  const Duration gap = aContext.mNow - state.mLastEventAt;
  if (gap > kHostStallTimeout) {
    state.mResumedAt = aContext.mNow;
    Log(aContext,
        LogSeverity::Info,
        "this host was stalled",
        { { "for_ms", Milliseconds(gap) } });
  }
  state.mLastEventAt = aContext.mNow;
}

}

void
Start(State& aState, Instant aNow)
{
  for (std::size_t n = 0; n < kTableCount; ++n) {
    aState.mTimers.Arm(TimerKind::PollTable, n, aNow);
  }
  aState.mLastEventAt = aNow;
  aState.mResumedAt = aNow;
  aState.mTimers.Arm(TimerKind::RegisterHost, 0, aNow);
  aState.mTimers.Arm(TimerKind::PromoterLease, 0, aNow);
  aState.mTimers.Arm(TimerKind::QueryPeer, 0, aNow);
}

std::vector<Effect>
Step(State& aState, const Event& aEvent)
{
  std::vector<Effect> effects;
  Context context{ aState, aEvent.mNow, effects };
  DetectHostStall(context);
  std::visit(EventHandler{ context }, aEvent.mBody);
  while (const auto timer = aState.mTimers.TakeDue(aEvent.mNow)) {
    HandleTimer(context, timer->first, timer->second);
  }
  return effects;
}

}
