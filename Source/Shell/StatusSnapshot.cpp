#include "Shell/StatusSnapshot.h"

#include "Keeper/Keeper.h"
#include "Membership/HostList.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

std::string
PrimaryName(const State& aState, DatabaseId aDatabase)
{
  const std::optional<ServerId> primary = PrimaryOf(aState, aDatabase);
  const Server* const server =
    primary ? aState.mTopology.FindServer(*primary) : nullptr;
  return server == nullptr ? std::string() : server->mName;
}

/// Requests that wait at the dispatchers of this host, by rank.
std::vector<RankStatus>
RankStatuses(const State& aState)
{
  std::vector<RankStatus> statuses;
  for (const Rank rank : kRanks) {
    RankStatus status{ std::string(NameOf(rank)), 0 };
    for (const auto& [id, dispatch] : aState.mDispatcher.mServers) {
      status.mQueued += dispatch.mScheduler.mRanks[IndexOf(rank)].mSize;
    }
    statuses.push_back(status);
  }
  return statuses;
}

}

StatusSnapshot
MakeSnapshot(const State& aState)
{
  StatusSnapshot snapshot;
  snapshot.mHost = aState.mTopology.FindHost(aState.mSelf)->mName;
  snapshot.mVersion = aState.mConfiguration.mCurrent.mVersion;
  snapshot.mAuthor = aState.mConfiguration.mRecord.mAuthor;
  snapshot.mStopping = aState.mStopping;
  snapshot.mInProgress = aState.mEntry.mPending.size();
  snapshot.mRanks = RankStatuses(aState);
  for (const auto& [id, dispatch] : aState.mDispatcher.mServers) {
    snapshot.mTransactions += dispatch.mTransactions.size();
  }
  for (const auto& [id, server] : aState.mTopology.mServers) {
    if (IsServerLeaving(aState, id)) {
      snapshot.mLeavingServers.push_back(server.mName);
    }
  }
  snapshot.mCounters = aState.mCounters;
  for (const auto& [id, database] : aState.mTopology.mDatabases) {
    snapshot.mDatabases.push_back(
      { database.mName, PrimaryName(aState, id), TermOf(aState, id) });
  }
  for (const auto& [id, peer] : aState.mMembership.mPeers) {
    if (const Host* const host = aState.mTopology.FindHost(id)) {
      snapshot.mPeers.push_back({ host->mName,
                                  peer.mConnected,
                                  peer.mSilent,
                                  IsHostLeaving(aState, id),
                                  peer.mVersion });
    }
  }
  return snapshot;
}

}
