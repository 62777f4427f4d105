#include "Catalogue/Hosts.h"

#include <map>
#include <string>
#include <utility>

#include "RateLimits/RateLimits.h"

namespace camphorstep::gateway {

namespace {

/// Has this host's entry written again if it is gone: removed by a late call of
/// an earlier process, or lost by the store.
void
RestoreOwnEntry(Context& aContext, std::uint64_t aVersion)
{
  State& state = aContext.mState;
  Catalogue& catalogue = state.mCatalogue;
  const HostEntry* const own = Find(catalogue.mHosts, state.mSelf.mEntry.mName);
  const bool isListed = own != nullptr && *own == state.mSelf.mEntry;
  const bool isExpected =
    catalogue.mRegistered && aVersion >= catalogue.mRegisteredVersion;
  if (!isExpected || isListed || state.mStop.mUnderway) {
    return;
  }
  catalogue.mRegistered = false;
  state.mTimers.Arm(TimerKind::RegisterHost, 0, aContext.mNow);
}

}

bool
ApplyHosts(Context& aContext, const TableAnswer& aAnswer)
{
  std::map<std::string, HostEntry>& hosts = aContext.mState.mCatalogue.mHosts;
  std::map<std::string, HostEntry> next;
  if (!aAnswer.mIsSnapshot) {
    next = hosts;
  }
  for (const RowChange<HostEntry>& change : aAnswer.mHosts) {
    if (change.mEntry) {
      next[change.mKey] = *change.mEntry;
    } else {
      next.erase(change.mKey);
    }
  }
  const bool hasChanged = next != hosts;
  hosts = std::move(next);
  NoteHosts(aContext, aAnswer);
  RestoreOwnEntry(aContext, aAnswer.mVersion);
  return hasChanged;
}

}
