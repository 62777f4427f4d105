#include "Fleet/Sources.h"

#include <algorithm>
#include <tuple>

#include "Common/Hash.h"
#include "Gateway/Tuning.h"
#include "Group/Promoter.h"

namespace camphorstep::gateway {

namespace {

/// How long a host that did not answer is passed over, the first time and at
/// most.
constexpr Duration kFirstSuspicion = 2s;
constexpr Duration kLongestSuspicion = 16s;

/// The order of a data centre's hosts: those with the most processor time
/// first, then one that spreads the work over names.
auto
OrderOf(const HostEntry& aHost)
{
  return std::tuple(~aHost.mProcessorShare, Hash64(aHost.mName));
}

bool
IsSuspected(const Context& aContext, const std::string& aName)
{
  const Suspicion* const suspicion =
    Find(aContext.mState.mFleet.mFollowing.mSuspicions, aName);
  return suspicion != nullptr && aContext.mNow < suspicion->mUntil;
}

}

std::vector<const HostEntry*>
SourceCandidates(const Context& aContext)
{
  const State& state = aContext.mState;
  const HostEntry& self = state.mSelf.mEntry;
  std::vector<const HostEntry*> candidates;
  for (const auto& [name, host] : state.mCatalogue.mHosts) {
    if (host.mDataCentre == self.mDataCentre && name != self.mName &&
        OrderOf(host) < OrderOf(self)) {
      candidates.push_back(&host);
    }
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const HostEntry* aFirst, const HostEntry* aSecond) {
              return OrderOf(*aFirst) < OrderOf(*aSecond);
            });
  const HostEntry* const promoter =
    Find(state.mCatalogue.mHosts, state.mPromoter.mLease.mHolder);
  if (promoter != nullptr && promoter->mName != self.mName &&
      std::find(candidates.begin(), candidates.end(), promoter) ==
        candidates.end()) {
    candidates.push_back(promoter);
  }
  return candidates;
}

const HostEntry*
BestSource(const Context& aContext)
{
  const auto candidates = SourceCandidates(aContext);
  const auto it = std::find_if(
    candidates.begin(), candidates.end(), [&](const HostEntry* aHost) {
      return !IsSuspected(aContext, aHost->mName);
    });
  return it == candidates.end() ? nullptr : *it;
}

bool
HearsSource(const Context& aContext)
{
  const Following& following = aContext.mState.mFleet.mFollowing;
  return !following.mSource.empty() && following.mIsTrusted;
}

bool
IsFollower(const Context& aContext)
{
  if (!HearsSource(aContext)) {
    return false;
  }
  const State& state = aContext.mState;
  const HostEntry* const source =
    Find(state.mCatalogue.mHosts, state.mFleet.mFollowing.mSource);
  return source != nullptr &&
         source->mDataCentre == state.mSelf.mEntry.mDataCentre;
}

bool
IsLookingForSource(const Context& aContext)
{
  const State& state = aContext.mState;
  const TableProgress& hosts =
    state.mCatalogue.mTables.at(static_cast<std::size_t>(Table::Fleet));
  return state.mFleet.mFollowing.mWaits ||
         (!hosts.mKnown && hosts.mFailures == 0);
}

void
SuspectSource(Context& aContext, const std::string& aReason)
{
  Following& following = aContext.mState.mFleet.mFollowing;
  Suspicion& suspicion = following.mSuspicions[following.mSource];
  const Duration time = std::max(suspicion.mNext, kFirstSuspicion);
  suspicion.mUntil = aContext.mNow + time;
  suspicion.mNext = std::min(2 * time, kLongestSuspicion);
  Log(aContext,
      LogSeverity::Info,
      "host that is asked for news does not answer; asking another",
      { { "host", following.mSource },
        { "reason", aReason },
        { "silent_ms", Milliseconds(aContext.mNow - following.mHeardAt) } });
  following.mSource.clear();
  following.mIsTrusted = false;
  following.mWaits = false;
}

}
