#include "Group/TakeoverReason.h"

#include <algorithm>

#include "Fleet/Silence.h"
#include "Gateway/Tuning.h"
#include "Group/Copies.h"
#include "Group/Fencing.h"
#include "Group/RetiredTerms.h"
#include "Group/Sampling.h"

namespace camphorstep::gateway {

namespace {

/// Connections that a server's machine refuses in a row before the server
/// counts as down.
constexpr std::uint32_t kRefusalsUntilDown = 2;

bool
IsDown(const Context& aContext, const Backend& aBackend)
{
  // During a stall this host could not receive messages, and before it became
  // the promoter it did not send any.
  const Instant lastContact =
    std::max({ aBackend.mLastReceivedAt,
               aContext.mState.mResumedAt,
               aContext.mState.mPromoter.mHeldSince });
  return aContext.mNow - lastContact > kPrimarySilenceTimeout ||
         (aBackend.mRefusals >= kRefusalsUntilDown && !aBackend.mControlLink);
}

/// Whether another server with a recent status, which is not leaving, could
/// become primary.
bool
HasSuccessor(const Context& aContext, const Group& aGroup)
{
  return std::any_of(
    aGroup.mServers.begin(), aGroup.mServers.end(), [&](ServerId aId) {
      const Backend* const backend = Find(aContext.mState.mBackends, aId);
      return backend != nullptr && aId != aGroup.mPrimary &&
             !backend->mLeavingSince && HasRecentStatus(aContext, *backend);
    });
}

std::optional<TakeoverReason>
ReasonWithPrimary(const Context& aContext,
                  const Group& aGroup,
                  const Backend& aPrimary)
{
  if (IsDown(aContext, aPrimary)) {
    return TakeoverReason::Silent;
  }
  if (IsSilentToMany(aContext, aPrimary.mId)) {
    return TakeoverReason::SilentToMany;
  }
  if (aPrimary.mLeavingSince && HasSuccessor(aContext, aGroup)) {
    return TakeoverReason::Leaving;
  }
  if (aGroup.mReplicationStalledSince &&
      aContext.mNow - *aGroup.mReplicationStalledSince >
        kReplicationStallTimeout) {
    return TakeoverReason::NotReplicating;
  }
  if (CountPaused(aContext, aGroup) + 1 >= CountCopies(aGroup)) {
    return TakeoverReason::Interrupted;
  }
  return std::nullopt;
}

}

std::optional<TakeoverReason>
ReasonToReplace(Context& aContext, Group& aGroup)
{
  if (CountCopies(aGroup) < 2) {
    return std::nullopt;
  }
  const Backend* const primary =
    Find(aContext.mState.mBackends, aGroup.mPrimary);
  if (primary != nullptr && !IsTermRetired(aContext, aGroup)) {
    aGroup.mNoPrimarySince.reset();
    return ReasonWithPrimary(aContext, aGroup, *primary);
  }
  if (CountRecentStatuses(aContext, aGroup) + 1 < CountCopies(aGroup)) {
    aGroup.mNoPrimarySince.reset();
    return std::nullopt;
  }
  if (!aGroup.mNoPrimarySince) {
    aGroup.mNoPrimarySince = aContext.mNow;
  }
  if (aContext.mNow - *aGroup.mNoPrimarySince < kPrimarySilenceTimeout) {
    return std::nullopt;
  }
  return TakeoverReason::NoPrimary;
}

}
