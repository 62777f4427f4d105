#include "Group/Evidence.h"

#include <algorithm>
#include <utility>

#include "Backend/Pool.h"
#include "Fleet/Reports.h"
#include "Fleet/Sources.h"
#include "Gateway/Tuning.h"
#include "Group/Promoter.h"
#include "Group/Takeover.h"
#include "Session/Routing.h"

namespace camphorstep::gateway {

namespace {

/// Whether a server's status is evidence for the group's primary: it is a
/// replica, is not paused and has no newer term.
bool
IsFollowingPrimary(const Backend& aBackend, const Group& aGroup)
{
  return aBackend.mStatus && !aBackend.mStatus->mPrimary &&
         aBackend.mStatus->mPauseTerm == 0 &&
         aBackend.mStatus->mTerm <= aGroup.mTerm;
}

void
SetPrimary(Context& aContext, Group& aGroup, ServerId aServer)
{
  if (aGroup.mPrimary == aServer) {
    return;
  }
  aGroup.mPrimary = aServer;
  aGroup.mReplicationStalledSince.reset();
  const Backend* const backend = Find(aContext.mState.mBackends, aServer);
  Log(aContext,
      LogSeverity::Info,
      aServer ? "primary is known" : "primary is no longer known",
      { { "group", aGroup.mName },
        { "server", backend == nullptr ? "" : backend->mEntry.mName },
        { "term", std::to_string(aGroup.mTerm) } });
}

/// Updates the group's term and primary from a server's newest status.
void
UpdatePrimary(Context& aContext, Group& aGroup, const Backend& aBackend)
{
  const BackendStatus& status = *aBackend.mStatus;
  if (status.mTerm > aGroup.mTerm) {
    aGroup.mTerm = status.mTerm;
    aGroup.mSamples.clear();
    if (aGroup.mPrimary != aBackend.mId) {
      SetPrimary(aContext, aGroup, ServerId{});
    }
  }
  if (status.mPrimary && status.mTerm == aGroup.mTerm) {
    SetPrimary(aContext, aGroup, aBackend.mId);
  } else if (aGroup.mPrimary == aBackend.mId) {
    SetPrimary(aContext, aGroup, ServerId{});
  }
}

/// Keeps the primary's position if the evidence was still valid when the status
/// was requested.
void
RecordPositionSample(Context& aContext, Group& aGroup, const Backend& aPrimary)
{
  if (aPrimary.mStatusAskedAt >= EvidenceEnd(aContext, aGroup)) {
    return;
  }
  if (!aGroup.mSamples.empty() &&
      aGroup.mSamples.back().mAskedAt >= aPrimary.mStatusAskedAt) {
    return;
  }
  aGroup.mSamples.push_back(
    { aPrimary.mStatusAskedAt, aPrimary.mStatus->mReceived });
  if (aGroup.mSamples.size() > kMaxSamples) {
    aGroup.mSamples.pop_front();
  }
}

/// Notes since when the primary has had writes that no replica has received.
void
TrackReplication(Context& aContext, Group& aGroup)
{
  const Backend* const primary =
    Find(aContext.mState.mBackends, aGroup.mPrimary);
  if (primary == nullptr || !primary->mStatus) {
    aGroup.mReplicationStalledSince.reset();
    return;
  }
  // Compares indexes only: they continue across terms, and a new primary has a
  // new term before it has written anything.
  std::uint64_t maxReplicaIndex = 0;
  for (const ServerId id : aGroup.mServers) {
    const Backend* const backend = Find(aContext.mState.mBackends, id);
    if (backend != nullptr && backend != primary && backend->mStatus) {
      maxReplicaIndex =
        std::max(maxReplicaIndex, backend->mStatus->mReceived.mIndex);
    }
  }
  if (primary->mStatus->mReceived.mIndex <= maxReplicaIndex ||
      maxReplicaIndex > aGroup.mMaxReplicaIndex) {
    aGroup.mReplicationStalledSince.reset();
  } else if (!aGroup.mReplicationStalledSince) {
    aGroup.mReplicationStalledSince = aContext.mNow;
  }
  aGroup.mMaxReplicaIndex = maxReplicaIndex;
}

/// Routes the statements that wait for a server once there may be one: a
/// confirmed primary, or for reads a replica that has caught up.
void
RerouteWaitingStatements(Context& aContext, Group& aGroup)
{
  const bool hasPrimary = ConfirmedPrimary(aContext, aGroup) != nullptr;
  const std::set<SessionId> held = std::exchange(aGroup.mHeld, {});
  for (const SessionId id : held) {
    Session* const session = Find(aContext.mState.mSessions, id);
    if (session == nullptr || !session->mActive ||
        session->mActive->mStage != StatementStage::AwaitingServer) {
      continue;
    }
    if (hasPrimary || !NeedsPrimary(aContext, *session)) {
      RouteStatement(aContext, *session);
    } else {
      aGroup.mHeld.insert(id);
    }
  }
}

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
  return !hasPeerSource ||
         aContext.mNow - *aGroup.mUnconfirmedSince > kFollowerSampleDelay;
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

/// Closes a control connection that has not answered within kStatusTimeout.
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
  if (!isPending || aContext.mNow - since < kStatusTimeout) {
    return;
  }
  Log(aContext,
      LogSeverity::Info,
      "control connection is silent; replacing it",
      { { "server", aBackend.mEntry.mName },
        { "silent_ms",
          Milliseconds(aContext.mNow - aBackend.mLastReceivedAt) } });
  aBackend.mLastTimeoutAt = aContext.mNow;
  DropLink(aContext, aBackend.mControlLink);
}

}

Instant
EvidenceEnd(const Context& aContext, const Group& aGroup)
{
  const Backend* const primary =
    Find(aContext.mState.mBackends, aGroup.mPrimary);
  if (primary == nullptr || !primary->mStatus || !primary->mStatus->mPrimary ||
      primary->mStatus->mTerm != aGroup.mTerm) {
    return Instant::min();
  }
  if (aGroup.mGroupSize <= 1) {
    return primary->mStatusAskedAt + kEvidenceTimeout;
  }
  Instant asked = Instant::min();
  for (const ServerId id : aGroup.mServers) {
    const Backend* const backend = Find(aContext.mState.mBackends, id);
    if (backend != nullptr && IsFollowingPrimary(*backend, aGroup)) {
      asked = std::max(asked, backend->mStatusAskedAt);
    }
  }
  if (asked == Instant::min()) {
    return asked;
  }
  return std::min(asked, primary->mStatusAskedAt) + kEvidenceTimeout;
}

Backend*
ConfirmedPrimary(Context& aContext, const Group& aGroup)
{
  if (aContext.mNow + kEvidenceMargin >= EvidenceEnd(aContext, aGroup)) {
    return nullptr;
  }
  return Find(aContext.mState.mBackends, aGroup.mPrimary);
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
  CloseSilentControl(aContext, aBackend);
  if (!aBackend.mControlLink) {
    OpenLinkTo(aContext, aBackend, true);
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
  if (!aReply.mStatus) {
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
ApplyStatus(Context& aContext,
            Backend& aBackend,
            const BackendStatus& aStatus,
            Instant aAskedAt)
{
  aBackend.mStatus = aStatus;
  aBackend.mStatusAskedAt = aAskedAt;
  ++aContext.mState.mFleet.mSequence;
  Group* const group = Find(aContext.mState.mGroups, aBackend.mGroup);
  if (group == nullptr) {
    return;
  }
  UpdatePrimary(aContext, *group, aBackend);
  if (group->mPrimary == aBackend.mId) {
    RecordPositionSample(aContext, *group, aBackend);
  }
  TrackReplication(aContext, *group);
  RerouteWaitingStatements(aContext, *group);
  if (group->mPrimary != aBackend.mId) {
    RerouteQueuedReads(aContext, *group);
  }
  AdvanceTakeover(aContext, *group);
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
NoteLostLeadership(Context& aContext, Backend& aBackend)
{
  aBackend.mStatus.reset();
  if (Group* const group = Find(aContext.mState.mGroups, aBackend.mGroup)) {
    if (group->mPrimary == aBackend.mId) {
      SetPrimary(aContext, *group, ServerId{});
    }
    aContext.mState.mTimers.ArmSooner(
      TimerKind::SampleGroup, group->mId.mValue, aContext.mNow);
  }
}

void
NoteLostConnection(Context& aContext, Backend& aBackend, bool aControl)
{
  Group* const group = Find(aContext.mState.mGroups, aBackend.mGroup);
  if (group != nullptr && (aControl || group->mPrimary == aBackend.mId)) {
    RequestUrgentSample(aContext, *group);
  }
}

}
