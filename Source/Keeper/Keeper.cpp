#include "Keeper/Keeper.h"

#include <algorithm>

#include "Dispatcher/Dispatcher.h"
#include "Entry/Failover.h"
#include "Keeper/Detection.h"
#include "Keeper/HeldAnswers.h"
#include "Keeper/Lease.h"
#include "Keeper/Links.h"
#include "Keeper/Promotion.h"
#include "Keeper/SwitchOver.h"
#include "Keeper/Watching.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// Answers of a former primary's dispatcher that are still under way arrive
/// within this time.
constexpr Duration kFormerPrimaryAnswerTimeout = std::chrono::milliseconds(100);

/// Records a term reported by a server, and its primary if the server is the
/// primary of the highest known term.
void
ObserveTerm(Context& aContext,
            Group& aGroup,
            ServerId aServer,
            Term aTerm,
            ServerRole aRole,
            Instant aSampledAt)
{
  if (aTerm > aGroup.mTerm) {
    aGroup.mTerm = aTerm;
    if (aGroup.mPrimary) {
      aGroup.mFormerPrimary = aGroup.mPrimary;
      aGroup.mTermRaisedAt = aContext.mNow;
    }
    aGroup.mPrimary = ServerId{};
    aGroup.mPrimaryActiveAt = aContext.mNow;
  }
  if (aRole != ServerRole::Primary || aTerm != aGroup.mTerm) {
    return;
  }
  if (aGroup.mPrimary != aServer) {
    aGroup.mPrimary = aServer;
    aGroup.mPrimaryActiveAt = aContext.mNow;
  }
  NotePrimaryActive(aGroup, aSampledAt);
}

/// Refuses requests that wait for the former primary, and fails those sent to
/// it once kFormerPrimaryAnswerTimeout has passed since the term rose.
void
FailFormerPrimaryRequests(Context& aContext, Group& aGroup)
{
  if (!aGroup.mFormerPrimary || aGroup.mFormerPrimary == aGroup.mPrimary) {
    aGroup.mFormerPrimary = ServerId{};
    return;
  }
  RefuseQueuedForPrimary(aContext, aGroup.mFormerPrimary);
  if (aContext.mNow - aGroup.mTermRaisedAt >= kFormerPrimaryAnswerTimeout) {
    FailPrimaryRequests(aContext, aGroup.mFormerPrimary);
    FailRequestsToFormerPrimary(aContext, aGroup.mFormerPrimary);
    aGroup.mFormerPrimary = ServerId{};
  }
}

}

void
ObserveView(Context& aContext, const ServerView& aView, Instant aSampledAt)
{
  State& state = aContext.mState;
  const Server* const server = state.mTopology.FindServer(aView.mServer);
  if (server == nullptr) {
    return;
  }
  ObserveTerm(aContext,
              GroupOf(aContext, server->mDatabase),
              aView.mServer,
              aView.mTerm,
              aView.mRole,
              aSampledAt);
}

void
NoteServerReply(Context& aContext,
                ServerId aServer,
                const ServerReply& aReply,
                Instant aSentAt)
{
  State& state = aContext.mState;
  const Server* const server = state.mTopology.FindServer(aServer);
  if (server == nullptr) {
    return;
  }
  Group& group = GroupOf(aContext, server->mDatabase);
  NoteEvidence(group, aServer, aReply, aSentAt);
  ObserveTerm(aContext, group, aServer, aReply.mTerm, aReply.mRole, aSentAt);
  CompleteHeldAnswers(aContext, server->mDatabase, group);
}

std::optional<ServerId>
PrimaryOf(const State& aState, DatabaseId aDatabase)
{
  const auto it = aState.mKeeper.mGroups.find(aDatabase);
  if (it == aState.mKeeper.mGroups.end() || !it->second.mPrimary) {
    return std::nullopt;
  }
  return it->second.mPrimary;
}

Term
TermOf(const State& aState, DatabaseId aDatabase)
{
  const auto it = aState.mKeeper.mGroups.find(aDatabase);
  return it == aState.mKeeper.mGroups.end() ? 0 : it->second.mTerm;
}

bool
IsKeeperLink(const State& aState, ConnectionId aConnection)
{
  return aState.mKeeper.mLinks.contains(aConnection);
}

void
HandleKeeperConnected(Context& aContext, ConnectionId aConnection)
{
  ServerRequest hello;
  hello.mOperation = ServerOperation::Hello;
  SendRequest(aContext, aConnection, std::move(hello));
}

void
HandleKeeperDisconnected(Context& aContext, ConnectionId aConnection)
{
  auto& links = aContext.mState.mKeeper.mLinks;
  const KeeperLink link = links.at(aConnection);
  links.erase(aConnection);
  if (link.mPurpose == LinkPurpose::Promotion) {
    HandlePromotionLinkLost(aContext, link);
  }
}

void
HandleKeeperReply(Context& aContext,
                  ConnectionId aConnection,
                  const ServerReply& aReply)
{
  KeeperLink& link = aContext.mState.mKeeper.mLinks.at(aConnection);
  if (link.mPendingRequest != aReply.mId) {
    ++aContext.mState.mCounters.mLateAnswers;
    return;
  }
  link.mPendingRequest = RequestId{};
  link.mHelloAnswered = true;
  const LinkPurpose purpose = link.mPurpose;
  NoteServerReply(aContext, link.mServer, aReply, link.mSentAt);
  if (purpose == LinkPurpose::Promotion) {
    HandlePromotionReply(aContext, aConnection, aReply);
  } else {
    HandleWatchReply(aContext, aConnection, aReply);
  }
}

bool
IsKeeperIdle(const State& aState)
{
  const auto& groups = aState.mKeeper.mGroups;
  return std::all_of(groups.begin(), groups.end(), [](const auto& aItem) {
    const Group& group = aItem.second;
    return group.mHeldAnswers.empty() && !group.mPromotion &&
           !group.mSwitchOver;
  });
}

void
TickKeeper(Context& aContext)
{
  for (const auto& [database, use] : aContext.mState.mEntry.mDatabases) {
    GroupOf(aContext, database);
  }
  for (auto& [database, group] : aContext.mState.mKeeper.mGroups) {
    CompleteHeldAnswers(aContext, database, group);
    MaintainWatches(aContext, database, group);
    DetectFailure(aContext, database, group);
    AdvanceSwitchOver(aContext, database, group);
    AdvancePromotion(aContext, database, group);
    FailFormerPrimaryRequests(aContext, group);
  }
}

}
