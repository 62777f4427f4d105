#include "Keeper/Watching.h"

#include <algorithm>
#include <utility>

#include "Keeper/Lease.h"
#include "Keeper/Links.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// A lease is kept for this long after a request last needed it.
constexpr Duration kLeaseUseTimeout = std::chrono::seconds(5);
/// Interval of status requests to the primary; short, so that a failure is
/// detected soon.
constexpr Duration kPrimaryStatusInterval = std::chrono::milliseconds(100);
/// A watch connection is replaced if opening it or a request on it takes
/// longer.
constexpr Duration kWatchTimeout = std::chrono::milliseconds(250);
/// A lost connection is opened again after this time, and after twice the
/// time for each further failure.
constexpr Duration kReopenDelay = std::chrono::milliseconds(50);
constexpr int kMaxDoublings = 3;
/// How long a server may wait for a position before it answers.
constexpr Duration kLogWaitTimeout = std::chrono::milliseconds(50);
/// A replica whose log still ends at an older term than the primary's after
/// this long is sent a Follow request again.
constexpr Duration kStallTimeout = std::chrono::milliseconds(300);

/// The highest position that a held answer waits for another server to log.
Position
WantedPosition(const Group& aGroup)
{
  Position wanted;
  for (const HeldAnswer& held : aGroup.mHeldAnswers) {
    if (held.mNeedsReplication && held.mTerm == aGroup.mTerm) {
      wanted = std::max(wanted, held.mAnswer.mPosition);
    }
  }
  return wanted;
}

bool
IsPrimary(const Group& aGroup, ServerId aServer)
{
  return aServer == aGroup.mPrimary;
}

/// Requests the status of a watched server, if its link is ready.
void
RequestStatus(Context& aContext,
              const Group& aGroup,
              ServerId aServer,
              Watch& aWatch)
{
  if (!IsLinkReady(aContext, aWatch.mLink)) {
    return;
  }
  aWatch.mLastRequestAt = aContext.mNow;
  ServerRequest status;
  status.mOperation = ServerOperation::Status;
  if (!IsPrimary(aGroup, aServer)) {
    status.mMinPosition = WantedPosition(aGroup);
    aWatch.mRequestedPosition = status.mMinPosition;
    status.mWait =
      status.mMinPosition == Position{} ? Duration{ 0 } : kLogWaitTimeout;
  }
  SendRequest(aContext, aWatch.mLink, std::move(status));
}

/// Requests that a replica follow the primary of the term.
void
RequestFollow(Context& aContext, const Group& aGroup, const Watch& aWatch)
{
  ServerRequest follow;
  follow.mOperation = ServerOperation::Follow;
  follow.mTerm = aGroup.mTerm;
  follow.mLeader = aGroup.mPrimary;
  SendRequest(aContext, aWatch.mLink, std::move(follow));
}

/// Whether a server needs a Follow request: its term is older than the
/// group's, or its log has ended at an older term for longer than
/// kStallTimeout. Updates the start of the stall.
bool
NeedsFollow(const Context& aContext,
            const Group& aGroup,
            ServerId aServer,
            Watch& aWatch)
{
  const auto own = aGroup.mEvidence.find(aServer);
  const auto primary = aGroup.mEvidence.find(aGroup.mPrimary);
  if (!aGroup.mPrimary || IsPrimary(aGroup, aServer) ||
      own == aGroup.mEvidence.end() || primary == aGroup.mEvidence.end() ||
      primary->second.mTerm != aGroup.mTerm) {
    return false;
  }
  if (own->second.mTerm < aGroup.mTerm) {
    return true;
  }
  const bool behind = own->second.mLogged.mTerm < aGroup.mTerm &&
                      primary->second.mLogged.mTerm == aGroup.mTerm;
  if (!behind) {
    aWatch.mStalledSince.reset();
    return false;
  }
  if (!aWatch.mStalledSince) {
    aWatch.mStalledSince = aContext.mNow;
  }
  return aContext.mNow - *aWatch.mStalledSince > kStallTimeout;
}

/// Whether the log of any server ends at an older term than the group's.
bool
HasLaggingServers(const Group& aGroup)
{
  return aGroup.mPrimary &&
         std::any_of(aGroup.mEvidence.begin(),
                     aGroup.mEvidence.end(),
                     [&aGroup](const auto& aItem) {
                       return aItem.second.mLogged.mTerm < aGroup.mTerm;
                     });
}

void
MaintainWatch(Context& aContext,
              const Group& aGroup,
              ServerId aServer,
              Watch& aWatch)
{
  if (IsLinkOverdue(aContext, aWatch.mLink, kWatchTimeout)) {
    CloseLink(aContext, aWatch.mLink);
  }
  if (!aContext.mState.mKeeper.mLinks.contains(aWatch.mLink)) {
    // A promotion probes the servers itself.
    const bool first = aWatch.mLastOpened == Instant{};
    if (aGroup.mPromotion && !first) {
      return;
    }
    const int doublings = std::min(aWatch.mFailures, kMaxDoublings);
    const Duration delay = kReopenDelay * (1 << doublings);
    if (first || aContext.mNow - aWatch.mLastOpened >= delay) {
      aWatch.mLastOpened = aContext.mNow;
      ++aWatch.mFailures;
      aWatch.mLink = OpenLink(aContext, aServer, LinkPurpose::Watch);
    }
    return;
  }
  if (!IsLinkReady(aContext, aWatch.mLink)) {
    return;
  }
  if (NeedsFollow(aContext, aGroup, aServer, aWatch)) {
    aWatch.mStalledSince.reset();
    RequestFollow(aContext, aGroup, aWatch);
    return;
  }
  const Duration interval =
    IsPrimary(aGroup, aServer) ? kPrimaryStatusInterval : kLeaseRenewal;
  const bool due = aContext.mNow - aWatch.mLastRequestAt >= interval;
  if (due || !aGroup.mHeldAnswers.empty()) {
    RequestStatus(aContext, aGroup, aServer, aWatch);
  }
}

}

bool
WantsLease(const Context& aContext, const Group& aGroup)
{
  return aGroup.mLeaseWantedAt &&
         aContext.mNow - *aGroup.mLeaseWantedAt < kLeaseUseTimeout;
}

void
NoteLeaseWanted(Context& aContext, DatabaseId aDatabase)
{
  Group& group = GroupOf(aContext, aDatabase);
  const bool wanted = WantsLease(aContext, group);
  group.mLeaseWantedAt = aContext.mNow;
  if (!wanted) {
    MaintainWatches(aContext, aDatabase, group);
  }
}

void
MaintainWatches(Context& aContext, DatabaseId aDatabase, Group& aGroup)
{
  const bool wanted = WantsLease(aContext, aGroup) ||
                      !aGroup.mHeldAnswers.empty() ||
                      (!aGroup.mWatches.empty() && HasLaggingServers(aGroup));
  if (!wanted) {
    for (const auto& [server, watch] : aGroup.mWatches) {
      CloseLink(aContext, watch.mLink);
    }
    aGroup.mWatches.clear();
    return;
  }
  for (const ServerId server :
       aContext.mState.mTopology.FindDatabase(aDatabase)->mServers) {
    MaintainWatch(aContext, aGroup, server, aGroup.mWatches[server]);
  }
}

void
HandleWatchReply(Context& aContext,
                 ConnectionId aLink,
                 const ServerReply& aReply)
{
  KeeperState& keeper = aContext.mState.mKeeper;
  const KeeperLink link = keeper.mLinks.at(aLink);
  if (aReply.mStatus != ServerStatus::Ok &&
      link.mOperation == ServerOperation::Hello) {
    CloseLink(aContext, aLink);
    return;
  }
  Group& group = GroupOf(aContext, link.mDatabase);
  Watch& watch = group.mWatches[link.mServer];
  watch.mFailures = 0;
  // Answers that wait for the lease alone are left to the next tick; otherwise
  // the server would be queried continuously.
  if (watch.mLink == aLink &&
      WantedPosition(group) > watch.mRequestedPosition) {
    RequestStatus(aContext, group, link.mServer, watch);
  }
}

}
