#include "Group/Evidence.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "Catalogue/Tables.h"
#include "Gateway/Tuning.h"
#include "Group/Copies.h"
#include "Group/Promoter.h"
#include "Group/RetiredTerms.h"
#include "Group/Sampling.h"
#include "Group/Takeover.h"
#include "Session/Routing.h"

namespace camphorstep::gateway {

namespace {

/// How long the promoter's reports name the retired terms after evidence has
/// begun on it, so that other hosts need not call the store when it begins
/// there.
constexpr Duration kBeginReportTime = 5s;

/// Whether a replica was paused in this term a short time ago.
bool
WasPaused(const Backend& aBackend)
{
  return aBackend.mPausedAt &&
         aBackend.mStatus->mTerm <= aBackend.mPausedTerm &&
         aBackend.mStatusAskedAt < *aBackend.mPausedAt + kEvidenceProbation;
}

/// Whether a replica may receive the primary's writes although a promoter has
/// requested a promotion: it was paused in this term, and a restart has ended
/// the pause, or it has joined since the promoter looked at the servers.
bool
IsOnProbation(const Backend& aBackend)
{
  const bool hasJoined =
    aBackend.mJoinedAt &&
    aBackend.mStatusAskedAt < *aBackend.mJoinedAt + kEvidenceProbation;
  return WasPaused(aBackend) || hasJoined;
}

/// Whether a server's status is evidence for the group's primary: it is a
/// replica, is not paused and has no newer term.
bool
IsFollowingPrimary(const Backend& aBackend, const Group& aGroup)
{
  return aBackend.mStatus && !aBackend.mStatus->mPrimary &&
         aBackend.mStatus->mPauseTerm == 0 &&
         aBackend.mStatus->mTerm <= aGroup.mTerm && !IsOnProbation(aBackend);
}

/// Logs, once for each pause of a server and once after it joined, that its
/// status is passed over as evidence.
void
LogProbation(Context& aContext, const Group& aGroup, Backend& aBackend)
{
  const BackendStatus& status = *aBackend.mStatus;
  if (aBackend.mIsProbationLogged || status.mPrimary ||
      status.mPauseTerm != 0 || !IsOnProbation(aBackend)) {
    return;
  }
  aBackend.mIsProbationLogged = true;
  Log(aContext,
      LogSeverity::Info,
      "a replica is no evidence for the primary yet",
      { { "group", aGroup.mName },
        { "server", aBackend.mEntry.mName },
        { "reason", WasPaused(aBackend) ? "it was paused" : "it has joined" },
        { "term", std::to_string(status.mTerm) },
        { "received", Describe(status.mReceived) } });
}

/// When the statuses that prove a primary were requested. In a group of one
/// server both times are the primary's.
struct ProofTimes
{
  Instant mPrimary;
  Instant mReplica;
};

/// Finds the newest statuses that prove the group's primary.
std::optional<ProofTimes>
FindProof(const Context& aContext, const Group& aGroup)
{
  const Backend* const primary =
    Find(aContext.mState.mBackends, aGroup.mPrimary);
  if (primary == nullptr || !primary->mStatus || !primary->mStatus->mPrimary ||
      primary->mStatus->mTerm != aGroup.mTerm) {
    return std::nullopt;
  }
  if (CountCopies(aGroup) <= 1) {
    return ProofTimes{ primary->mStatusAskedAt, primary->mStatusAskedAt };
  }
  Instant asked = Instant::min();
  for (const ServerId id : aGroup.mServers) {
    const Backend* const backend = Find(aContext.mState.mBackends, id);
    if (backend != nullptr && IsFollowingPrimary(*backend, aGroup)) {
      asked = std::max(asked, backend->mStatusAskedAt);
    }
  }
  if (asked == Instant::min()) {
    return std::nullopt;
  }
  return ProofTimes{ primary->mStatusAskedAt, asked };
}

/// Whether the evidence for the primary has had no gap until these statuses.
bool
ContinuesEvidence(const Group& aGroup, const ProofTimes& aTimes)
{
  return aGroup.mProvedTerm == aGroup.mTerm &&
         aTimes.mReplica <= aGroup.mProvedUntil;
}

/// Whether evidence for the primary may begin with these statuses. Nobody is
/// promoted in a group of one server.
bool
MayBeginEvidence(const Context& aContext,
                 const Group& aGroup,
                 const ProofTimes& aTimes)
{
  return CountCopies(aGroup) <= 1 ||
         (!IsTermRetired(aContext, aGroup) &&
          AreOrdersKnown(aContext, aTimes.mReplica));
}

/// Notes until when there is evidence for the primary. Has the store confirm
/// the retired terms if evidence could begin with that.
void
NoteEvidence(Context& aContext, Group& aGroup)
{
  const std::optional<ProofTimes> times = FindProof(aContext, aGroup);
  if (!times) {
    return;
  }
  const Instant end = EvidenceEnd(aContext, aGroup);
  if (end == Instant::min()) {
    const Instant proofEnd =
      std::min(times->mReplica, times->mPrimary) + kEvidenceTimeout;
    if (aContext.mNow < proofEnd && !IsTermRetired(aContext, aGroup)) {
      ConfirmTableSoon(aContext, Table::Fleet);
    }
    return;
  }
  if (HoldsPromoterLease(aContext) && !ContinuesEvidence(aGroup, *times)) {
    // It is about to begin on the hosts that get these statuses by reports,
    // too.
    Instant& until = aContext.mState.mCatalogue.mRetiredTerms.mReportedUntil;
    until = std::max(until, aContext.mNow + kBeginReportTime);
  }
  aGroup.mProvedUntil = aGroup.mProvedTerm == aGroup.mTerm
                          ? std::max(aGroup.mProvedUntil, end)
                          : end;
  aGroup.mProvedTerm = aGroup.mTerm;
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

}

Instant
EvidenceEnd(const Context& aContext, const Group& aGroup)
{
  const std::optional<ProofTimes> times = FindProof(aContext, aGroup);
  if (!times || (!ContinuesEvidence(aGroup, *times) &&
                 !MayBeginEvidence(aContext, aGroup, *times))) {
    return Instant::min();
  }
  return std::min(times->mReplica, times->mPrimary) + kEvidenceTimeout;
}

Backend*
ConfirmedPrimary(Context& aContext, const Group& aGroup)
{
  if (aContext.mNow + kEvidenceMargin >= EvidenceEnd(aContext, aGroup)) {
    return nullptr;
  }
  return Find(aContext.mState.mBackends, aGroup.mPrimary);
}

void
ApplyStatus(Context& aContext,
            Backend& aBackend,
            const BackendStatus& aStatus,
            Instant aAskedAt)
{
  Group* const group = Find(aContext.mState.mGroups, aBackend.mGroup);
  if (group != nullptr) {
    // The retired terms may have been confirmed since the former status.
    NoteEvidence(aContext, *group);
  }
  aBackend.mStatus = aStatus;
  aBackend.mStatusAskedAt = aAskedAt;
  if (aStatus.mPauseTerm != 0) {
    aBackend.mPausedAt = aAskedAt;
    aBackend.mPausedTerm = aStatus.mTerm;
    aBackend.mIsProbationLogged = false;
  }
  ++aContext.mState.mFleet.mSequence;
  if (group == nullptr) {
    return;
  }
  UpdatePrimary(aContext, *group, aBackend);
  NoteEvidence(aContext, *group);
  LogProbation(aContext, *group, aBackend);
  if (group->mPrimary == aBackend.mId) {
    RecordPositionSample(aContext, *group, aBackend);
  }
  TrackReplication(aContext, *group);
  DropFormerCopies(aContext, *group);
  RerouteWaitingStatements(aContext, *group);
  if (group->mPrimary != aBackend.mId) {
    RerouteQueuedReads(aContext, *group);
  }
  AdvanceTakeover(aContext, *group);
}

void
RefreshEvidence(Context& aContext)
{
  for (auto& [id, group] : aContext.mState.mGroups) {
    NoteEvidence(aContext, group);
    RerouteWaitingStatements(aContext, group);
  }
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

}
