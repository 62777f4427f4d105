#include "Keeper/Detection.h"

#include <algorithm>

#include "Keeper/Lease.h"
#include "Keeper/Promotion.h"
#include "Keeper/Watching.h"
#include "Membership/Membership.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// A database counts as in use for this long after its last request.
constexpr Duration kUseTimeout = std::chrono::seconds(5);
/// Time without contact after which a host with watch connections to the
/// primary suspects it.
constexpr Duration kWatchedPrimaryTimeout = std::chrono::milliseconds(250);
/// The same for other hosts, which learn of the primary only through the views
/// that the watching host sends.
constexpr Duration kReportedPrimaryTimeout = std::chrono::milliseconds(750);
/// Time beyond the lease wait that a running promoter is given before another
/// host takes over.
constexpr Duration kTakeOverMargin = std::chrono::milliseconds(400);
/// Additional delay of each host relative to the next higher-ranked promoter.
constexpr Duration kPromoterStaggerDelay = std::chrono::milliseconds(200);

bool
IsInUse(const Context& aContext, DatabaseId aDatabase, const Group& aGroup)
{
  if (WantsLease(aContext, aGroup)) {
    return true;
  }
  const auto& databases = aContext.mState.mEntry.mDatabases;
  const auto it = databases.find(aDatabase);
  return it != databases.end() && it->second.mLastUsed != Instant{} &&
         aContext.mNow - it->second.mLastUsed < kUseTimeout;
}

/// Whether this host has its own watch connection to the primary, on which a
/// lost connection is noticed at once.
bool
IsWatchingPrimary(const Context& aContext, const Group& aGroup)
{
  return WantsLease(aContext, aGroup);
}

/// Whether the watch connection to the primary has been lost and not been
/// reopened.
bool
HasLostPrimary(const Context& aContext, const Group& aGroup)
{
  const auto watch = aGroup.mWatches.find(aGroup.mPrimary);
  return watch != aGroup.mWatches.end() && watch->second.mLink &&
         watch->second.mLastRequestAt != Instant{} &&
         !aContext.mState.mKeeper.mLinks.contains(watch->second.mLink);
}

/// How long the primary may be inactive before the first-ranked promoter
/// starts a promotion.
Duration
FailureTimeoutOf(const Context& aContext, const Group& aGroup)
{
  if (!aGroup.mPrimary) {
    return kFenceWait + kTakeOverMargin;
  }
  if (!IsWatchingPrimary(aContext, aGroup)) {
    return kReportedPrimaryTimeout;
  }
  return HasLostPrimary(aContext, aGroup) ? Duration{ 0 }
                                          : kWatchedPrimaryTimeout;
}

/// Returns the primary, the former primary if there is none, or else the first
/// server of the group.
const Server&
LastPrimary(const State& aState, DatabaseId aDatabase, const Group& aGroup)
{
  const Server* server = aState.mTopology.FindServer(aGroup.mPrimary);
  if (server == nullptr) {
    server = aState.mTopology.FindServer(aGroup.mFormerPrimary);
  }
  if (server == nullptr) {
    const Database* const database = aState.mTopology.FindDatabase(aDatabase);
    server = aState.mTopology.FindServer(database->mServers.front());
  }
  return *server;
}

}

int
PromoterRank(const Context& aContext, DatabaseId aDatabase, const Group& aGroup)
{
  const State& state = aContext.mState;
  const Server& server = LastPrimary(state, aDatabase, aGroup);
  // The same order as for choosing the server's dispatcher.
  const auto orderKey = [&server](const Host& aHost) {
    return std::pair(ProximityOf(aHost.mPlace, server.mPlace),
                     ~HashPair(aHost.mId.mValue, server.mId.mValue));
  };
  const auto self = orderKey(*state.mTopology.FindHost(state.mSelf));
  return static_cast<int>(std::count_if(
    state.mTopology.mHosts.begin(),
    state.mTopology.mHosts.end(),
    [&](const auto& aItem) {
      return IsAvailable(state, aItem.first) && orderKey(aItem.second) < self;
    }));
}

void
NotePrimaryActive(Group& aGroup, Instant aActiveAt)
{
  aGroup.mPrimaryActiveAt = std::max(aGroup.mPrimaryActiveAt, aActiveAt);
}

void
DetectFailure(Context& aContext, DatabaseId aDatabase, Group& aGroup)
{
  if (!IsInUse(aContext, aDatabase, aGroup) || aContext.mState.mStopping) {
    NotePrimaryActive(aGroup, aContext.mNow);
    return;
  }
  const Duration silence = aContext.mNow - aGroup.mPrimaryActiveAt;
  const Duration timeout = FailureTimeoutOf(aContext, aGroup);
  if (aGroup.mPromotion || silence <= timeout) {
    return;
  }
  // Computing the rank looks at all hosts, so it is done last.
  const Duration staggerDelay =
    PromoterRank(aContext, aDatabase, aGroup) * kPromoterStaggerDelay;
  if (silence <= timeout + staggerDelay) {
    return;
  }
  StartPromotion(aContext, aDatabase, aGroup, aGroup.mPrimary, false);
}

}
