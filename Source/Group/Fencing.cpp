#include "Group/Fencing.h"

#include <algorithm>
#include <string>
#include <vector>

#include "Gateway/Tuning.h"
#include "Group/Copies.h"
#include "Group/HiddenCopies.h"
#include "Group/Sampling.h"

namespace camphorstep::gateway {

namespace {

/// The interval at which a paused server's status is requested again.
constexpr Duration kRefreshInterval = 80ms;
/// A server counts as reachable, and must be fenced, if a message from it
/// arrived within this time.
constexpr Duration kReachableTimeout = 500ms;
/// The most copies that one log line describes.
constexpr std::size_t kMaxDescribed = 12;

/// Calls a function for each server of the group that is known.
template<typename Function>
void
ForEachServer(Context& aContext, const Group& aGroup, Function aFunction)
{
  for (const ServerId id : aGroup.mServers) {
    if (Backend* const backend = Find(aContext.mState.mBackends, id)) {
      aFunction(*backend);
    }
  }
}

template<typename Predicate>
std::size_t
CountServers(const Context& aContext, const Group& aGroup, Predicate aPredicate)
{
  return static_cast<std::size_t>(std::count_if(
    aGroup.mServers.begin(), aGroup.mServers.end(), [&](ServerId aId) {
      const Backend* const backend = Find(aContext.mState.mBackends, aId);
      return backend != nullptr && aPredicate(*backend);
    }));
}

/// The number of servers whose pause by the takeover was seen at or after a
/// time.
std::size_t
CountPausedSince(const Context& aContext, const Group& aGroup, Instant aSince)
{
  return CountServers(aContext, aGroup, [&](const Backend& aBackend) {
    return IsPausedByTakeover(aContext, aGroup, aBackend) &&
           aBackend.mStatusAskedAt >= aSince;
  });
}

/// Describes the newest status of a server, for the log.
std::string
DescribeStatus(const Context& aContext, const Backend& aBackend)
{
  if (!aBackend.mStatus) {
    return aBackend.mEntry.mName + " unknown";
  }
  const BackendStatus& status = *aBackend.mStatus;
  std::string text = aBackend.mEntry.mName + " " + Describe(status.mReceived);
  if (status.mPrimary) {
    text += " primary";
  }
  if (status.mPauseTerm != 0) {
    text += " pause " + std::to_string(status.mPauseTerm);
  }
  return text + " age " + Milliseconds(aContext.mNow - aBackend.mStatusAskedAt);
}

}

bool
IsPausedByTakeover(const Context& aContext,
                   const Group& aGroup,
                   const Backend& aBackend)
{
  return HasRecentStatus(aContext, aBackend) && !aBackend.mStatus->mPrimary &&
         aBackend.mStatus->mPauseTerm == aGroup.mTakeover.mFenceTerm;
}

bool
IsBetterCandidate(const Backend& aFirst, const Backend& aSecond)
{
  const Position first = aFirst.mStatus->mReceived;
  const Position second = aSecond.mStatus->mReceived;
  if (first != second) {
    return first > second;
  }
  if (aFirst.mLeavingSince.has_value() != aSecond.mLeavingSince.has_value()) {
    return !aFirst.mLeavingSince;
  }
  return aFirst.mId < aSecond.mId;
}

bool
HasRecentStatus(const Context& aContext, const Backend& aBackend)
{
  return aBackend.mStatus &&
         aContext.mNow - aBackend.mStatusAskedAt <= kMaxFenceStatusAge;
}

std::size_t
CountRecentStatuses(const Context& aContext, const Group& aGroup)
{
  return CountServers(aContext, aGroup, [&](const Backend& aBackend) {
    return HasRecentStatus(aContext, aBackend);
  });
}

std::size_t
CountPaused(const Context& aContext, const Group& aGroup)
{
  return CountServers(aContext, aGroup, [&](const Backend& aBackend) {
    return HasRecentStatus(aContext, aBackend) &&
           aBackend.mStatus->mPauseTerm != 0;
  });
}

std::string
DescribeStatuses(const Context& aContext, const Group& aGroup)
{
  std::vector<std::string> items;
  for (const ServerId id : aGroup.mServers) {
    if (const Backend* const backend = Find(aContext.mState.mBackends, id)) {
      items.push_back(DescribeStatus(aContext, *backend));
    }
  }
  for (const FormerCopy& former : aGroup.mFormerCopies) {
    items.push_back(former.mCopy.mServer + " not listed");
  }
  std::string text;
  for (std::size_t n = 0; n < std::min(items.size(), kMaxDescribed); ++n) {
    text += (n == 0 ? "" : "; ") + items[n];
  }
  if (items.size() > kMaxDescribed) {
    text += "; " + std::to_string(items.size() - kMaxDescribed) + " more";
  }
  return text;
}

void
ContinueFencing(Context& aContext, Group& aGroup)
{
  const Term fence = aGroup.mTakeover.mFenceTerm;
  ForEachServer(aContext, aGroup, [&](Backend& aBackend) {
    if (!IsControlFree(aContext, aBackend) || !aBackend.mStatus) {
      return;
    }
    const BackendStatus& status = *aBackend.mStatus;
    if (status.mPrimary) {
      SendControlRequest(aContext, aBackend, BackendVerb::StepDown, fence);
    } else if (status.mPauseTerm != fence) {
      SendControlRequest(aContext, aBackend, BackendVerb::Pause, fence);
    } else if (aContext.mNow - aBackend.mStatusAskedAt > kRefreshInterval) {
      SendControlRequest(aContext, aBackend, BackendVerb::Status, 0);
    }
  });
}

void
StepDownOldPrimary(Context& aContext, Group& aGroup)
{
  const Takeover& takeover = aGroup.mTakeover;
  ForEachServer(aContext, aGroup, [&](Backend& aBackend) {
    const bool isOldPrimary = aBackend.mStatus && aBackend.mStatus->mPrimary &&
                              aBackend.mStatus->mTerm <= takeover.mOldTerm;
    if (isOldPrimary && IsControlFree(aContext, aBackend)) {
      SendControlRequest(
        aContext, aBackend, BackendVerb::StepDown, takeover.mFenceTerm);
    }
  });
}

bool
AreAllPaused(const Context& aContext, const Group& aGroup, Instant aSince)
{
  return CountPausedSince(aContext, aGroup, aSince) == CountCopies(aGroup);
}

bool
IsFenced(const Context& aContext, const Group& aGroup, Instant aSince)
{
  const std::size_t pausedCount = CountPausedSince(aContext, aGroup, aSince);
  const std::size_t reachable =
    CountServers(aContext, aGroup, [&](const Backend& aBackend) {
      return aContext.mNow - aBackend.mLastReceivedAt < kReachableTimeout;
    });
  return pausedCount + 1 >= CountCopies(aGroup) && pausedCount >= reachable;
}

bool
IsFenceBroken(const Context& aContext, const Group& aGroup)
{
  return CountServers(aContext, aGroup, [&](const Backend& aBackend) {
           return HasRecentStatus(aContext, aBackend) &&
                  !IsPausedByTakeover(aContext, aGroup, aBackend);
         }) > 0;
}

bool
NeedsOldPrimary(const Context& aContext, const Group& aGroup)
{
  const Takeover& takeover = aGroup.mTakeover;
  const std::size_t replicas =
    CountServers(aContext, aGroup, [&](const Backend& aBackend) {
      return aBackend.mId != takeover.mOldPrimary &&
             IsPausedByTakeover(aContext, aGroup, aBackend);
    });
  return takeover.mReason != TakeoverReason::NotReplicating ||
         replicas + 1 < CountCopies(aGroup) ||
         IsServerAwaited(aContext, aGroup);
}

const Backend*
BestCandidate(const Context& aContext, const Group& aGroup)
{
  const ServerId old = aGroup.mTakeover.mOldPrimary;
  const bool needsOldPrimary = NeedsOldPrimary(aContext, aGroup);
  const Backend* best = nullptr;
  for (const ServerId id : aGroup.mServers) {
    const Backend* const backend = Find(aContext.mState.mBackends, id);
    if (backend == nullptr || !IsPausedByTakeover(aContext, aGroup, *backend) ||
        (id == old && !needsOldPrimary)) {
      continue;
    }
    if (best == nullptr || IsBetterCandidate(*backend, *best)) {
      best = backend;
    }
  }
  return best;
}

bool
EndPauses(Context& aContext, Group& aGroup)
{
  bool done = true;
  ForEachServer(aContext, aGroup, [&](Backend& aBackend) {
    if (aBackend.mId == aGroup.mPrimary || !aBackend.mStatus ||
        aBackend.mStatus->mPauseTerm == 0 ||
        aContext.mNow - aBackend.mLastReceivedAt > kReachableTimeout) {
      return;
    }
    done = false;
    if (IsControlFree(aContext, aBackend)) {
      SendControlRequest(aContext, aBackend, BackendVerb::Resume, 0);
    }
  });
  return done;
}

void
CleanUpAfterTakeover(Context& aContext, Group& aGroup)
{
  if (!aGroup.mPrimary) {
    return;
  }
  ForEachServer(aContext, aGroup, [&](Backend& aBackend) {
    if (aBackend.mId == aGroup.mPrimary || !aBackend.mStatus ||
        !IsControlFree(aContext, aBackend)) {
      return;
    }
    const BackendStatus& status = *aBackend.mStatus;
    if (status.mPrimary && status.mTerm < aGroup.mTerm) {
      SendControlRequest(
        aContext, aBackend, BackendVerb::StepDown, aGroup.mTerm);
    } else if (status.mPauseTerm != 0) {
      SendControlRequest(aContext, aBackend, BackendVerb::Resume, 0);
    }
  });
}

}
