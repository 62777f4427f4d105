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
AskForViews(Context& aContext, DatabaseId aDatabase, DatabaseUse& aUse)
{
  aUse.mLastAsked = aContext.mNow;
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
AbsorbView(Context& aContext, const ServerView& aView, Instant aAskedAt)
{
  State& state = aContext.mState;
  const Server* const server = state.mTopology.FindServer(aView.mServer);
  if (server == nullptr) {
    return;
  }
  const Instant sampledAt = aAskedAt - aView.mAge;
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
    KeepPrimarySample(use, PrimarySample{ sampledAt, aView.mApplied });
  } else {
    LearnLag(use, known);
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
  const Instant askedAt = it->second;
  requests.erase(it);
  AbsorbIntake(aContext, aReply.mView);
  AbsorbView(aContext, aReply.mView, askedAt);
}

void
NoteDatabaseUse(Context& aContext, DatabaseId aDatabase)
{
  DatabaseUse& use = aContext.mState.mEntry.mDatabases[aDatabase];
  use.mLastUsed = aContext.mNow;
  if (aContext.mNow - use.mLastAsked >= kRefreshInterval) {
    AskForViews(aContext, aDatabase, use);
  }
}

void
RefreshViews(Context& aContext)
{
  EntryState& entry = aContext.mState.mEntry;
  for (auto& [database, use] : entry.mDatabases) {
    const bool inUse = aContext.mNow - use.mLastUsed < kUseTimeout;
    const bool due = aContext.mNow - use.mLastAsked >= kRefreshInterval;
    if (inUse && due) {
      AskForViews(aContext, database, use);
    }
  }
  std::erase_if(entry.mViewRequests, [&aContext](const auto& aItem) {
    return aContext.mNow - aItem.second > kViewRequestTimeout;
  });
}

}
