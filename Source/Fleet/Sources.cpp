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
constexpr Duration kInitialBackoffDelay = 2s;
constexpr Duration kMaxBackoffDelay = 16s;

/// The order of a data centre's hosts: those with the most processor time
/// first, then one that spreads the work over names.
auto
SortKeyOf(const HostEntry& aHost)
{
  return std::tuple(~aHost.mProcessorShare, Hash64(aHost.mName));
}

bool
IsInBackoff(const Context& aContext, const std::string& aName)
{
  const SourceBackoff* const suspicion =
    Find(aContext.mState.mFleet.mSourceState.mBackoffs, aName);
  return suspicion != nullptr && aContext.mNow < suspicion->mUntil;
}

}

bool
PrecedesInDataCentre(const Context& aContext, const HostEntry& aHost)
{
  const HostEntry& self = aContext.mState.mSelf.mEntry;
  return aHost.mDataCentre == self.mDataCentre && aHost.mName != self.mName &&
         SortKeyOf(aHost) < SortKeyOf(self);
}

std::vector<const HostEntry*>
SourceCandidates(const Context& aContext)
{
  const State& state = aContext.mState;
  const HostEntry& self = state.mSelf.mEntry;
  std::vector<const HostEntry*> candidates;
  for (const auto& [name, host] : state.mCatalogue.mHosts) {
    if (PrecedesInDataCentre(aContext, host)) {
      candidates.push_back(&host);
    }
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const HostEntry* aFirst, const HostEntry* aSecond) {
              return SortKeyOf(*aFirst) < SortKeyOf(*aSecond);
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
      return !IsInBackoff(aContext, aHost->mName);
    });
  return it == candidates.end() ? nullptr : *it;
}

const HostEntry*
SourceOrCandidate(const Context& aContext)
{
  const State& state = aContext.mState;
  const HostEntry* const source =
    Find(state.mCatalogue.mHosts, state.mFleet.mSourceState.mSource);
  return source != nullptr ? source : BestSource(aContext);
}

std::size_t
RankInDataCentre(const Context& aContext)
{
  const auto& hosts = aContext.mState.mCatalogue.mHosts;
  const auto n =
    std::count_if(hosts.begin(), hosts.end(), [&](const auto& aEntry) {
      return PrecedesInDataCentre(aContext, aEntry.second) &&
             !IsInBackoff(aContext, aEntry.first);
    });
  return static_cast<std::size_t>(n);
}

bool
HasResponsiveSource(const Context& aContext)
{
  const SourceState& sourceState = aContext.mState.mFleet.mSourceState;
  return !sourceState.mSource.empty() && sourceState.mIsResponsive;
}

bool
IsFollower(const Context& aContext)
{
  if (!HasResponsiveSource(aContext)) {
    return false;
  }
  const State& state = aContext.mState;
  const HostEntry* const source =
    Find(state.mCatalogue.mHosts, state.mFleet.mSourceState.mSource);
  return source != nullptr &&
         source->mDataCentre == state.mSelf.mEntry.mDataCentre;
}

bool
IsLookingForSource(const Context& aContext)
{
  const State& state = aContext.mState;
  const TableProgress& hosts =
    state.mCatalogue.mTables.at(static_cast<std::size_t>(Table::Fleet));
  return state.mFleet.mSourceState.mIsQueryPending ||
         (!hosts.mKnown && hosts.mFailures == 0);
}

void
BackOffSource(Context& aContext, const std::string& aReason)
{
  SourceState& sourceState = aContext.mState.mFleet.mSourceState;
  SourceBackoff& suspicion = sourceState.mBackoffs[sourceState.mSource];
  const Duration time = std::max(suspicion.mNextDelay, kInitialBackoffDelay);
  suspicion.mUntil = aContext.mNow + time;
  suspicion.mNextDelay = std::min(2 * time, kMaxBackoffDelay);
  Log(aContext,
      LogSeverity::Info,
      "stopped querying a host for reports; choosing another",
      { { "host", sourceState.mSource },
        { "reason", aReason },
        { "silent_ms",
          Milliseconds(aContext.mNow - sourceState.mLastReceivedAt) } });
  DropSource(aContext);
}

void
DropSource(Context& aContext)
{
  SourceState& sourceState = aContext.mState.mFleet.mSourceState;
  sourceState.mSource.clear();
  sourceState.mIsResponsive = false;
  sourceState.mIsQueryPending = false;
}

}
