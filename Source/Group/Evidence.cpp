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
SupportsPrimary(const Backend& aBackend, const Group& aGroup)
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
  aGroup.mAheadSince.reset();
  const Backend* const backend = Find(aContext.mState.mBackends, aServer);
  Log(aContext,
      LogSeverity::Info,
      aServer ? "primary is known" : "primary is not known any more",
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
TakeSample(Context& aContext, Group& aGroup, const Backend& aPrimary)
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
    aGroup.mAheadSince.reset();
    return;
  }
  // Compares indexes only: they continue across terms, and a new primary has a
  // new term before it has written anything.
  std::uint64_t furthest = 0;
  for (const ServerId id : aGroup.mServers) {
    const Backend* const backend = Find(aContext.mState.mBackends, id);
    if (backend != nullptr && backend != primary && backend->mStatus) {
      furthest = std::max(furthest, backend->mStatus->mReceived.mIndex);
    }
  }
  if (primary->mStatus->mReceived.mIndex <= furthest ||
      furthest > aGroup.mFurthestReplica) {
    aGroup.mAheadSince.reset();
  } else if (!aGroup.mAheadSince) {
    aGroup.mAheadSince = aContext.mNow;
  }
  aGroup.mFurthestReplica = furthest;
}

/// Routes the statements that wait for a confirmed primary once there is one.
void
ReleaseHeld(Context& aContext, Group& aGroup)
{
  if (aGroup.mHeld.empty() || ProvenPrimary(aContext, aGroup) == nullptr) {
    return;
  }
  const std::set<SessionId> held = std::exchange(aGroup.mHeld, {});
  for (const SessionId id : held) {
    Session* const session = Find(aContext.mState.mSessions, id);
    if (session != nullptr && session->mActive &&
        session->mActive->mStage == StatementStage::AwaitingServer) {
      RouteStatement(aContext, *session);
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
      aContext.mNow - aBackend.mHeardAt > kIdleControlTimeout) {
    DropLink(aContext, aBackend.mControlLink);
  }
}

/// Whether the group has a confirmed primary and no takeover is in progress.
bool
IsCalm(Context& aContext, const Group& aGroup)
{
  return ProvenPrimary(aContext, aGroup) != nullptr &&
         aGroup.mTakeover.mPhase == TakeoverPhase::None;
}

/// Whether the reports of other hosts suffice for a group, so that this host
/// need not sample its servers. Never the case on the promoter.
bool
IsTold(Context& aContext, const Group& aGroup)
{
  return !HoldsPromoterLease(aContext) && IsCalm(aContext, aGroup) &&
         EvidenceEnd(aContext, aGroup) - aContext.mNow >
           kEvidenceRefreshLeadTime;
}

/// Whether this host must sample the servers of a group itself. When reports do
/// not suffice, one host of each data centre does so first, since a server does
/// not have connections for all hosts.
bool
AsksServers(Context& aContext, Group& aGroup)
{
  if (IsTold(aContext, aGroup)) {
    aGroup.mUnprovenSince.reset();
    return false;
  }
  if (HoldsPromoterLease(aContext)) {
    return true;
  }
  if (!aGroup.mUnprovenSince) {
    aGroup.mUnprovenSince = aContext.mNow;
  }
  const bool isLeftToOthers =
    IsFollower(aContext) || IsLookingForSource(aContext);
  return !isLeftToOthers ||
         aContext.mNow - *aGroup.mUnprovenSince > kFollowerSampleDelay;
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
  if (!IsCalm(aContext, aGroup) || closesSoon) {
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
ChangesLead(const std::optional<BackendStatus>& aFormer,
            const BackendStatus& aStatus)
{
  return !aFormer || aFormer->mPrimary != aStatus.mPrimary ||
         aFormer->mTerm != aStatus.mTerm ||
         (aFormer->mPauseTerm == 0) != (aStatus.mPauseTerm == 0);
}

/// Closes a control connection that has not answered within kStatusTimeout.
void
ReplaceSilentControl(Context& aContext, Backend& aBackend)
{
  const Link* const link = Find(aContext.mState.mLinks, aBackend.mControlLink);
  if (link == nullptr) {
    return;
  }
  const Instant since =
    link->mExchanges.empty() ? link->mOpenedAt : link->mExchanges[0].mSentAt;
  const bool waits = !link->mReady || !link->mExchanges.empty();
  if (!waits || aContext.mNow - since < kStatusTimeout) {
    return;
  }
  Log(aContext,
      LogSeverity::Info,
      "control connection is silent; replacing it",
      { { "server", aBackend.mEntry.mName },
        { "silent_ms", Milliseconds(aContext.mNow - aBackend.mHeardAt) } });
  aBackend.mSilentAt = aContext.mNow;
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
  if (aGroup.mCopies <= 1) {
    return primary->mStatusAskedAt + kEvidenceTimeout;
  }
  Instant asked = Instant::min();
  for (const ServerId id : aGroup.mServers) {
    const Backend* const backend = Find(aContext.mState.mBackends, id);
    if (backend != nullptr && SupportsPrimary(*backend, aGroup)) {
      asked = std::max(asked, backend->mStatusAskedAt);
    }
  }
  if (asked == Instant::min()) {
    return asked;
  }
  return std::min(asked, primary->mStatusAskedAt) + kEvidenceTimeout;
}

Backend*
ProvenPrimary(Context& aContext, const Group& aGroup)
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
SendControl(Context& aContext, Backend& aBackend, BackendVerb aVerb, Term aTerm)
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
SampleServer(Context& aContext, Backend& aBackend)
{
  ReplaceSilentControl(aContext, aBackend);
  if (!aBackend.mControlLink) {
    OpenLinkTo(aContext, aBackend, true);
    return;
  }
  if (IsControlFree(aContext, aBackend)) {
    SendControl(aContext, aBackend, BackendVerb::Status, 0);
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
  const bool changesLead = ChangesLead(aBackend.mStatus, *aReply.mStatus);
  TakeStatus(aContext, aBackend, *aReply.mStatus, aAskedAt);
  if (changesLead) {
    ShareNews(aContext);
  } else {
    ShareNewsSoon(aContext);
  }
}

void
TakeStatus(Context& aContext,
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
    TakeSample(aContext, *group, aBackend);
  }
  TrackReplication(aContext, *group);
  ReleaseHeld(aContext, *group);
  AdvanceTakeover(aContext, *group);
}

void
SampleGroup(Context& aContext, Group& aGroup)
{
  const bool asks = AsksServers(aContext, aGroup);
  for (const ServerId id : aGroup.mServers) {
    Backend* const backend = Find(aContext.mState.mBackends, id);
    if (backend == nullptr) {
      continue;
    }
    if (asks) {
      SampleServer(aContext, *backend);
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
NoteLostLead(Context& aContext, Backend& aBackend)
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
