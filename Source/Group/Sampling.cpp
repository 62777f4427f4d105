#include "Group/Sampling.h"

#include <algorithm>

#include "Backend/Pool.h"
#include "Fleet/Reports.h"
#include "Fleet/Sources.h"
#include "Gateway/Tuning.h"
#include "Group/ControlLinks.h"
#include "Group/Evidence.h"
#include "Group/Promoter.h"
#include "Group/Takeover.h"

namespace camphorstep::gateway {

namespace {

/// Closes a control connection that has been idle for longer than
/// kIdleControlTimeout.
void
CloseUnusedControl(Context& aContext, const Backend& aBackend)
{
  const Link* const link = Find(aContext.mState.mLinks, aBackend.mControlLink);
  if (link != nullptr && link->mReady && link->mExchanges.empty() &&
      aContext.mNow - aBackend.mLastReceivedAt > kIdleControlTimeout) {
    DropLink(aContext, aBackend.mControlLink);
  }
}

/// Whether the group has a confirmed primary and no takeover is in progress.
bool
HasStablePrimary(Context& aContext, const Group& aGroup)
{
  return ConfirmedPrimary(aContext, aGroup) != nullptr &&
         aGroup.mTakeover.mPhase == TakeoverPhase::None;
}

/// Whether the reports of other hosts suffice for a group, so that this host
/// need not sample its servers. Never the case on the promoter.
bool
HasRecentPeerReports(Context& aContext, const Group& aGroup)
{
  return !HoldsPromoterLease(aContext) && HasStablePrimary(aContext, aGroup) &&
         EvidenceEnd(aContext, aGroup) - aContext.mNow >
           kEvidenceRefreshLeadTime;
}

/// How long a host that has a source goes without evidence before it samples
/// the servers itself. Those of a data centre begin one after the other, since
/// a server does not have connections for all.
Duration
FollowerSampleDelay(const Context& aContext)
{
  const auto rank = static_cast<Duration::rep>(RankInDataCentre(aContext));
  return kFollowerSampleDelay +
         kFollowerSampleStep * std::max<Duration::rep>(rank - 1, 0);
}

/// Whether this host must sample the servers of a group itself. When reports do
/// not suffice, one host of each data centre does so first, since a server does
/// not have connections for all hosts.
bool
MustSampleServers(Context& aContext, Group& aGroup)
{
  if (HasRecentPeerReports(aContext, aGroup)) {
    aGroup.mUnconfirmedSince.reset();
    return false;
  }
  if (HoldsPromoterLease(aContext)) {
    return true;
  }
  if (!aGroup.mUnconfirmedSince) {
    aGroup.mUnconfirmedSince = aContext.mNow;
  }
  const bool hasPeerSource =
    IsFollower(aContext) || IsLookingForSource(aContext);
  return !hasPeerSource || aContext.mNow - *aGroup.mUnconfirmedSince >
                             FollowerSampleDelay(aContext);
}

/// Returns when a group is to be sampled next. The promoter samples all groups
/// at the same time, so that it can report the answers together.
Instant
NextSample(Context& aContext, const Group& aGroup)
{
  const bool hasControl = std::any_of(
    aGroup.mServers.begin(), aGroup.mServers.end(), [&](ServerId aId) {
      const Backend* const backend = Find(aContext.mState.mBackends, aId);
      return backend != nullptr && backend->mControlLink;
    });
  const bool closesSoon = hasControl && !HoldsPromoterLease(aContext);
  if (!HasStablePrimary(aContext, aGroup) || closesSoon) {
    return aContext.mNow + kUrgentSampleInterval;
  }
  if (HoldsPromoterLease(aContext)) {
    return aContext.mNow + kSampleInterval -
           aContext.mNow.time_since_epoch() % kSampleInterval;
  }
  return std::max(EvidenceEnd(aContext, aGroup) - kEvidenceRefreshLeadTime,
                  aContext.mNow + kUrgentSampleInterval);
}

/// Whether a status differs from the former one in role, term or whether the
/// server is paused.
bool
ChangesLeadership(const std::optional<BackendStatus>& aFormer,
                  const BackendStatus& aStatus)
{
  return !aFormer || aFormer->mPrimary != aStatus.mPrimary ||
         aFormer->mTerm != aStatus.mTerm ||
         (aFormer->mPauseTerm == 0) != (aStatus.mPauseTerm == 0);
}

/// Gives up a control connection that has not answered in time.
void
CloseSilentControl(Context& aContext, Backend& aBackend)
{
  const Link* const link = Find(aContext.mState.mLinks, aBackend.mControlLink);
  if (link == nullptr) {
    return;
  }
  const Instant since =
    link->mExchanges.empty() ? link->mOpenedAt : link->mExchanges[0].mSentAt;
  const bool isPending = !link->mReady || !link->mExchanges.empty();
  if (!isPending ||
      aContext.mNow - since < ControlTimeout(aContext, aBackend)) {
    return;
  }
  Log(aContext,
      LogSeverity::Info,
      "control connection is silent; replacing it",
      { { "server", aBackend.mEntry.mName },
        { "silent_ms",
          Milliseconds(aContext.mNow - aBackend.mLastReceivedAt) } });
  aBackend.mLastTimeoutAt = aContext.mNow;
  ++aContext.mState.mCounters.mControlLinksSilent;
  NoteControlFailure(aContext, aBackend);
  KeepLateControl(aContext, aBackend);
}

}

bool
IsControlFree(const Context& aContext, const Backend& aBackend)
{
  const Link* const link = Find(aContext.mState.mLinks, aBackend.mControlLink);
  return link != nullptr && link->mReady && link->mExchanges.empty();
}

void
SendControlRequest(Context& aContext,
                   Backend& aBackend,
                   BackendVerb aVerb,
                   Term aTerm)
{
  Link* const link = Find(aContext.mState.mLinks, aBackend.mControlLink);
  if (link == nullptr) {
    return;
  }
  BackendRequest request;
  request.mVerb = aVerb;
  request.mTerm = aTerm;
  ++aContext.mState.mCounters.mStatusRequests;
  SendRequest(aContext, *link, std::move(request), ExchangeKind::Status);
}

void
RequestStatus(Context& aContext, Backend& aBackend)
{
  DropOverdueControl(aContext, aBackend);
  CloseSilentControl(aContext, aBackend);
  if (!aBackend.mControlLink) {
    if (MayOpenControl(aContext, aBackend)) {
      OpenLinkTo(aContext, aBackend, true);
    }
    return;
  }
  if (IsControlFree(aContext, aBackend)) {
    SendControlRequest(aContext, aBackend, BackendVerb::Status, 0);
  }
}

void
HandleStatusReply(Context& aContext,
                  Backend& aBackend,
                  const BackendReply& aReply,
                  Instant aAskedAt)
{
  // The answer of a former control connection may come after that of the next.
  if (!aReply.mStatus || aAskedAt < aBackend.mStatusAskedAt) {
    return;
  }
  const bool changesLeadership =
    ChangesLeadership(aBackend.mStatus, *aReply.mStatus);
  ApplyStatus(aContext, aBackend, *aReply.mStatus, aAskedAt);
  if (changesLeadership) {
    AnswerPendingQueries(aContext);
  } else {
    ScheduleQueryAnswers(aContext);
  }
}

void
SampleGroup(Context& aContext, Group& aGroup)
{
  const bool asks = MustSampleServers(aContext, aGroup);
  for (const ServerId id : aGroup.mServers) {
    Backend* const backend = Find(aContext.mState.mBackends, id);
    if (backend == nullptr) {
      continue;
    }
    if (asks) {
      RequestStatus(aContext, *backend);
    } else {
      CloseUnusedControl(aContext, *backend);
    }
  }
  AdvanceTakeover(aContext, aGroup);
  aContext.mState.mTimers.ArmSooner(
    TimerKind::SampleGroup, aGroup.mId.mValue, NextSample(aContext, aGroup));
}

void
RequestUrgentSample(Context& aContext, Group& aGroup)
{
  aContext.mState.mTimers.ArmSooner(TimerKind::SampleGroup,
                                    aGroup.mId.mValue,
                                    aContext.mNow + kUrgentSampleInterval);
}

void
NoteLostConnection(Context& aContext, Backend& aBackend, bool aControl)
{
  if (aControl) {
    NoteControlFailure(aContext, aBackend);
  }
  Group* const group = Find(aContext.mState.mGroups, aBackend.mGroup);
  if (group != nullptr && (aControl || group->mPrimary == aBackend.mId)) {
    RequestUrgentSample(aContext, *group);
  }
}

}
