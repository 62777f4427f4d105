#include "Entry/Views.h"

#include "Entry/Freshness.h"
#include "Entry/Intake.h"
#include "Keeper/Keeper.h"
#include "Membership/Membership.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

constexpr Duration kRefreshInterval = std::chrono::milliseconds(100);
/// Views of a database are refreshed for this long after its last request.
constexpr Duration kUseTimeout = std::chrono::seconds(10);
constexpr Duration kViewRequestTimeout = std::chrono::seconds(2);

void
RequestViews(Context& aContext, DatabaseId aDatabase, DatabaseUse& aUse)
{
  aUse.mLastViewRequest = aContext.mNow;
  const Database* const database =
    aContext.mState.mTopology.FindDatabase(aDatabase);
  for (const ServerId server : database->mServers) {
    const std::optional<HostId> host = DispatcherOf(aContext.mState, server);
    if (!host) {
      continue;
    }
    const RequestId id = NewRequestId(aContext);
    aContext.mState.mEntry.mViewRequests.emplace(id, aContext.mNow);
    SendTo(aContext, *host, ViewRequest{ id, server });
  }
}

}

void
ApplyView(Context& aContext, const ServerView& aView, Instant aRequestedAt)
{
  State& state = aContext.mState;
  const Server* const server = state.mTopology.FindServer(aView.mServer);
  if (server == nullptr) {
    return;
  }
  const Instant sampledAt = aRequestedAt - aView.mAge;
  KnownServer& known = state.mEntry.mServers[aView.mServer];
  if (sampledAt < known.mSampledAt) {
    return;
  }
  known.mView = aView;
  known.mSampledAt = sampledAt;
  ObserveView(aContext, aView, sampledAt);
  DatabaseUse& use = state.mEntry.mDatabases[server->mDatabase];
  DropOlderTerms(use, TermOf(state, server->mDatabase));
  if (PrimaryOf(state, server->mDatabase) == aView.mServer) {
    AddPrimarySample(use, PrimarySample{ sampledAt, aView.mApplied });
  } else {
    UpdateLagEstimate(use, known);
  }
}

void
HandleViewReply(Context& aContext, const ViewReply& aReply)
{
  auto& requests = aContext.mState.mEntry.mViewRequests;
  const auto it = requests.find(aReply.mId);
  if (it == requests.end()) {
    return;
  }
  const Instant requestedAt = it->second;
  requests.erase(it);
  ApplyIntake(aContext, aReply.mView);
  ApplyView(aContext, aReply.mView, requestedAt);
}

void
NoteDatabaseUse(Context& aContext, DatabaseId aDatabase)
{
  DatabaseUse& use = aContext.mState.mEntry.mDatabases[aDatabase];
  use.mLastUsed = aContext.mNow;
  if (aContext.mNow - use.mLastViewRequest >= kRefreshInterval) {
    RequestViews(aContext, aDatabase, use);
  }
}

void
RefreshViews(Context& aContext)
{
  EntryState& entry = aContext.mState.mEntry;
  for (auto& [database, use] : entry.mDatabases) {
    const bool inUse = aContext.mNow - use.mLastUsed < kUseTimeout;
    const bool due = aContext.mNow - use.mLastViewRequest >= kRefreshInterval;
    if (inUse && due) {
      RequestViews(aContext, database, use);
    }
  }
  std::erase_if(entry.mViewRequests, [&aContext](const auto& aItem) {
    return aContext.mNow - aItem.second > kViewRequestTimeout;
  });
}

}
