#include "Keeper/Promotion.h"

#include <algorithm>
#include <string>
#include <utility>

#include "Keeper/Announcement.h"
#include "Keeper/Lease.h"
#include "Keeper/Links.h"
#include "Keeper/PromotionRules.h"
#include "Reducer/Context.h"
#include "Reducer/SeededFaults.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// A new connection that has not been answered for this long counts as lost.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(150);
/// Interval between new connections to a server, and the interval once the
/// server counts as lost.
constexpr Duration kProbeInterval = std::chrono::milliseconds(75);
constexpr Duration kLostProbeInterval = std::chrono::seconds(2);
/// How long a planned change waits for servers other than the leaving one.
constexpr Duration kPlannedFenceTimeout = std::chrono::milliseconds(200);
/// A promotion without progress in a phase for this long is abandoned; another
/// attempt starts from the beginning.
constexpr Duration kPhaseTimeout = std::chrono::milliseconds(1'500);
/// How long a promoter sends Follow requests to the other servers itself.
/// Servers that return later get them from the host that holds the lease.
constexpr Duration kFollowTimeout = std::chrono::milliseconds(500);

std::string
AttemptIdText(const Promotion& aPromotion)
{
  return std::to_string(aPromotion.mAttemptId.mIncarnation) + "-" +
         std::to_string(aPromotion.mAttemptId.mSequence);
}

std::string
Milliseconds(Duration aDuration)
{
  return std::to_string(aDuration.count() / 1'000);
}

void
EndPromotion(Context& aContext, Group& aGroup)
{
  for (const auto& [id, server] : aGroup.mPromotion->mServers) {
    CloseLink(aContext, server.mLink);
  }
  aGroup.mPromotion.reset();
}

/// Abandons the promotion; this host or another one may start a new one later.
void
AbandonPromotion(Context& aContext,
                 DatabaseId aDatabase,
                 Group& aGroup,
                 const char* aReason)
{
  const State& state = aContext.mState;
  LogRecord(aContext,
            LogSeverity::Info,
            "promotion given up",
            { { "database", state.mTopology.FindDatabase(aDatabase)->mName },
              { "reason", aReason } });
  EndPromotion(aContext, aGroup);
  aGroup.mPrimaryActiveAt = aContext.mNow;
}

/// The request that a server is to be sent in the current phase, if any.
std::optional<ServerRequest>
RequestFor(const Promotion& aPromotion,
           ServerId aServer,
           const PromotionServer& aState,
           const std::vector<ServerId>& aVoters)
{
  ServerRequest request;
  request.mTerm = aPromotion.mTerm;
  request.mText = AttemptIdText(aPromotion);
  switch (aPromotion.mPhase) {
    case PromotionPhase::Probe:
      return std::nullopt;
    case PromotionPhase::Fence:
    case PromotionPhase::Wait:
      request.mOperation = ServerOperation::Fence;
      return aState.mFenceReply ? std::nullopt : std::optional(request);
    case PromotionPhase::Promote:
      request.mOperation = ServerOperation::Promote;
      request.mVoters = aVoters;
      return aServer == aPromotion.mCandidate ? std::optional(request)
                                              : std::nullopt;
    case PromotionPhase::Follow:
      request.mOperation = ServerOperation::Follow;
      request.mLeader = aPromotion.mCandidate;
      return aServer == aPromotion.mCandidate || aState.mFollows
               ? std::nullopt
               : std::optional(request);
  }
  return std::nullopt;
}

void
SendPhaseRequest(Context& aContext,
                 const Promotion& aPromotion,
                 ServerId aId,
                 PromotionServer& aServer,
                 const std::vector<ServerId>& aVoters)
{
  if (aServer.mRequestSent || !IsLinkReady(aContext, aServer.mLink)) {
    return;
  }
  std::optional<ServerRequest> request =
    RequestFor(aPromotion, aId, aServer, aVoters);
  if (request) {
    aServer.mRequestSent = true;
    SendRequest(aContext, aServer.mLink, std::move(*request));
  }
}

void
EnterPhase(Context& aContext, Group& aGroup, PromotionPhase aPhase)
{
  Promotion& promotion = *aGroup.mPromotion;
  promotion.mPhase = aPhase;
  promotion.mLastProgressAt = aContext.mNow;
  for (auto& [id, server] : promotion.mServers) {
    server.mRequestSent = false;
  }
}

/// Replaces connections that were lost or are overdue.
void
MaintainLink(Context& aContext, ServerId aId, PromotionServer& aServer)
{
  if (IsLinkOverdue(aContext, aServer.mLink, kProbeTimeout)) {
    CloseLink(aContext, aServer.mLink);
    ++aServer.mFailures;
  }
  const bool open = aContext.mState.mKeeper.mLinks.contains(aServer.mLink);
  if (!open && aContext.mNow >= aServer.mNextAttemptAt) {
    aServer.mLink = OpenLink(aContext, aId, LinkPurpose::Promotion);
    aServer.mNextAttemptAt =
      aContext.mNow + (IsLost(aServer) ? kLostProbeInterval : kProbeInterval);
    aServer.mRequestSent = false;
  }
}

void
BeginFencing(Context& aContext, Group& aGroup)
{
  Promotion& promotion = *aGroup.mPromotion;
  promotion.mTerm = std::max(HighestTerm(promotion), aGroup.mTerm) + 1;
  promotion.mFenceStartedAt = aContext.mNow;
  EnterPhase(aContext, aGroup, PromotionPhase::Fence);
}

void
BeginPromoting(Context& aContext, Group& aGroup)
{
  Promotion& promotion = *aGroup.mPromotion;
  promotion.mCandidate = BestCandidate(promotion);
  promotion.mPromoteStartedAt = aContext.mNow;
  EnterPhase(aContext, aGroup, PromotionPhase::Promote);
}

/// Starts promoting once a majority is fenced and no earlier lease can be
/// valid.
void
AdvanceFencing(Context& aContext, DatabaseId aDatabase, Group& aGroup)
{
  Promotion& promotion = *aGroup.mPromotion;
  if (!HasFencedMajority(promotion, VotersOf(aContext.mState, aDatabase))) {
    return;
  }
  if (promotion.mPhase == PromotionPhase::Fence) {
    promotion.mMajorityFencedAt = aContext.mNow;
    promotion.mWaitUntil =
      aContext.mNow +
      (IsSeeded(SeededFault::SkipLeaseWait) ? Duration{ 0 } : kFenceWait);
    promotion.mPhase = PromotionPhase::Wait;
    promotion.mLastProgressAt = aContext.mNow;
  }
  const bool mayGainServers =
    promotion.mPlanned && BestCandidate(promotion) == promotion.mAvoided &&
    aContext.mNow - promotion.mMajorityFencedAt < kPlannedFenceTimeout;
  if (mayGainServers) {
    return;
  }
  if (CanSkipLeaseWait(promotion) || aContext.mNow >= promotion.mWaitUntil) {
    BeginPromoting(aContext, aGroup);
  }
}

void
FinishPromoting(Context& aContext,
                DatabaseId aDatabase,
                Group& aGroup,
                const ServerReply& aReply)
{
  Promotion& promotion = *aGroup.mPromotion;
  promotion.mFollowStartedAt = aContext.mNow;
  const Topology& topology = aContext.mState.mTopology;
  LogRecord(
    aContext,
    LogSeverity::Warning,
    "primary changed",
    { { "database", topology.FindDatabase(aDatabase)->mName },
      { "primary", topology.FindServer(promotion.mCandidate)->mName },
      { "term", std::to_string(promotion.mTerm) },
      { "planned", promotion.mPlanned ? "yes" : "no" },
      { "probe_ms",
        Milliseconds(promotion.mFenceStartedAt - promotion.mStartedAt) },
      { "fence_ms",
        Milliseconds(promotion.mMajorityFencedAt - promotion.mFenceStartedAt) },
      { "wait_ms",
        Milliseconds(promotion.mPromoteStartedAt -
                     promotion.mMajorityFencedAt) },
      { "promote_ms",
        Milliseconds(aContext.mNow - promotion.mPromoteStartedAt) } });
  ++aContext.mState.mCounters.mPromotions;
  EnterPhase(aContext, aGroup, PromotionPhase::Follow);
  AnnouncePrimary(aContext, promotion.mCandidate, aReply);
}

/// Returns why probing is to be abandoned (the primary has answered, or another
/// promoter has begun), or nullptr if it is to continue.
const char*
ReasonToAbandon(const Group& aGroup)
{
  const Promotion& promotion = *aGroup.mPromotion;
  if (promotion.mBaseTerm != 0 && aGroup.mTerm > promotion.mBaseTerm) {
    return "another host has started a promotion";
  }
  const bool primaryAnswered =
    aGroup.mPrimary && aGroup.mPrimaryActiveAt >= promotion.mStartedAt;
  return primaryAnswered && !promotion.mPlanned ? "the primary answers"
                                                : nullptr;
}

void
HandleFenceReply(Context& aContext,
                 DatabaseId aDatabase,
                 Group& aGroup,
                 PromotionServer& aServer,
                 const ServerReply& aReply)
{
  Promotion& promotion = *aGroup.mPromotion;
  // Once a candidate has been chosen it is kept: a second candidate at the
  // same term would be a second primary.
  if (promotion.mPhase != PromotionPhase::Fence &&
      promotion.mPhase != PromotionPhase::Wait) {
    return;
  }
  if (aReply.mStatus != ServerStatus::Ok) {
    AbandonPromotion(aContext,
                     aDatabase,
                     aGroup,
                     "a server has granted the term to another promoter");
    return;
  }
  aServer.mFenceReply = aReply;
  promotion.mLastProgressAt = aContext.mNow;
  AdvanceFencing(aContext, aDatabase, aGroup);
}

}

void
StartPromotion(Context& aContext,
               DatabaseId aDatabase,
               Group& aGroup,
               ServerId aAvoided,
               bool aPlanned)
{
  const Topology& topology = aContext.mState.mTopology;
  Promotion promotion;
  promotion.mAttemptId = NewRequestId(aContext);
  promotion.mAvoided = aAvoided;
  promotion.mPlanned = aPlanned;
  promotion.mBaseTerm = aGroup.mTerm;
  promotion.mStartedAt = aContext.mNow;
  promotion.mLastProgressAt = aContext.mNow;
  for (const ServerId id : topology.FindDatabase(aDatabase)->mServers) {
    promotion.mServers.emplace(id, PromotionServer{});
  }
  aGroup.mPromotion = std::move(promotion);
  LogRecord(aContext,
            LogSeverity::Info,
            "probing the group of a database",
            { { "database", topology.FindDatabase(aDatabase)->mName },
              { "planned", aPlanned ? "yes" : "no" } });
  AdvancePromotion(aContext, aDatabase, aGroup);
}

void
HandlePromotionReply(Context& aContext,
                     ConnectionId aLink,
                     const ServerReply& aReply)
{
  const KeeperLink link = aContext.mState.mKeeper.mLinks.at(aLink);
  Group& group = GroupOf(aContext, link.mDatabase);
  if (!group.mPromotion) {
    CloseLink(aContext, aLink);
    return;
  }
  Promotion& promotion = *group.mPromotion;
  PromotionServer& server = promotion.mServers.at(link.mServer);
  server.mReply = aReply;
  server.mFailures = 0;
  switch (link.mOperation) {
    case ServerOperation::Hello:
      if (aReply.mStatus != ServerStatus::Ok) {
        CloseLink(aContext, aLink);
        ++server.mFailures;
      }
      break;
    case ServerOperation::Fence:
      HandleFenceReply(aContext, link.mDatabase, group, server, aReply);
      break;
    case ServerOperation::Promote:
      if (aReply.mStatus == ServerStatus::Ok) {
        FinishPromoting(aContext, link.mDatabase, group, aReply);
      } else {
        AbandonPromotion(aContext,
                         link.mDatabase,
                         group,
                         "another promoter has fenced the candidate");
      }
      break;
    case ServerOperation::Follow:
      server.mFollows = true;
      break;
    default:
      break;
  }
  if (group.mPromotion) {
    AdvancePromotion(aContext, link.mDatabase, group);
  }
}

void
HandlePromotionLinkLost(Context& aContext, const KeeperLink& aLink)
{
  Group& group = GroupOf(aContext, aLink.mDatabase);
  if (group.mPromotion) {
    ++group.mPromotion->mServers.at(aLink.mServer).mFailures;
  }
}

void
AdvancePromotion(Context& aContext, DatabaseId aDatabase, Group& aGroup)
{
  if (!aGroup.mPromotion) {
    return;
  }
  Promotion& promotion = *aGroup.mPromotion;
  const std::vector<ServerId> voters = VotersOf(aContext.mState, aDatabase);
  for (auto& [id, server] : promotion.mServers) {
    MaintainLink(aContext, id, server);
  }
  switch (promotion.mPhase) {
    case PromotionPhase::Probe:
      if (const char* const reason = ReasonToAbandon(aGroup)) {
        AbandonPromotion(aContext, aDatabase, aGroup, reason);
        return;
      }
      if (IsProbeComplete(promotion, voters)) {
        BeginFencing(aContext, aGroup);
      }
      break;
    case PromotionPhase::Fence:
    case PromotionPhase::Wait:
      AdvanceFencing(aContext, aDatabase, aGroup);
      break;
    case PromotionPhase::Promote:
      break;
    case PromotionPhase::Follow:
      if (AllFollow(promotion) ||
          aContext.mNow - promotion.mFollowStartedAt > kFollowTimeout) {
        EndPromotion(aContext, aGroup);
        return;
      }
      break;
  }
  const std::vector<ServerId>& next =
    aContext.mState.mTopology.FindDatabase(aDatabase)->mServers;
  for (auto& [id, server] : promotion.mServers) {
    SendPhaseRequest(aContext, promotion, id, server, next);
  }
  const bool timedOut =
    aContext.mNow - promotion.mLastProgressAt > kPhaseTimeout;
  if (timedOut && promotion.mPhase != PromotionPhase::Probe) {
    AbandonPromotion(aContext, aDatabase, aGroup, "too few servers answer");
  }
}

}
