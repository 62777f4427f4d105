#include "Group/HiddenCopies.h"

#include <algorithm>

#include "Group/Fencing.h"

namespace camphorstep::gateway {

namespace {

/// How long after a server has begun to receive writes its entry may be
/// missing: an interval of its check-ins, and a margin.
constexpr Duration kListingTimeout = 1'500ms;
/// How long after the store's return a server's entry may be missing.
constexpr Duration kEntryReturnTimeout = 3s;
/// How long before a server begins to leave the one in its place may join.
constexpr Duration kEarlyJoinTime = 10s;

bool
IsReplacementMissing(const Group& aGroup, const Backend& aBackend)
{
  const std::optional<Instant> since =
    aBackend.mLeavingSince ? aBackend.mLeavingSince : aBackend.mMissingSince;
  return since && (!aGroup.mLastJoinedAt ||
                   *aGroup.mLastJoinedAt + kEarlyJoinTime < *since);
}

}

bool
IsServerAwaited(const Context& aContext, const Group& aGroup)
{
  if (aGroup.mLastLostAt &&
      (!aGroup.mLastJoinedAt || *aGroup.mLastJoinedAt < *aGroup.mLastLostAt)) {
    return true;
  }
  return std::any_of(
    aGroup.mServers.begin(), aGroup.mServers.end(), [&](ServerId aId) {
      const Backend* const backend = Find(aContext.mState.mBackends, aId);
      return backend != nullptr && IsReplacementMissing(aGroup, *backend);
    });
}

bool
IsOldPrimaryComplete(const Context& aContext, const Group& aGroup)
{
  const Takeover& takeover = aGroup.mTakeover;
  const Backend* const primary =
    Find(aContext.mState.mBackends, takeover.mOldPrimary);
  return primary != nullptr && IsPausedByTakeover(aContext, aGroup, *primary) &&
         NeedsOldPrimary(aContext, aGroup) &&
         primary->mStatus->mTerm == takeover.mOldTerm &&
         aGroup.mTerm == takeover.mOldTerm &&
         takeover.mUnseenTerm <= takeover.mOldTerm &&
         (!primary->mJoinedAt || *primary->mJoinedAt < takeover.mStartedAt);
}

Instant
EntriesMissingUntil(const Context& aContext)
{
  return aContext.mState.mCatalogue.mFailedCallAt + kEntryReturnTimeout;
}

Instant
ListNeededSince(const Context& aContext, const Group& aGroup, Instant aWaitEnd)
{
  const Instant listed =
    IsServerAwaited(aContext, aGroup) ? aWaitEnd + kListingTimeout : aWaitEnd;
  return std::max(listed, EntriesMissingUntil(aContext));
}

}
