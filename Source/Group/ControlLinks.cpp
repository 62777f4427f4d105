#include "Group/ControlLinks.h"

#include <algorithm>
#include <string>
#include <utility>

#include "Backend/Pool.h"
#include "Common/Hash.h"
#include "Gateway/Tuning.h"
#include "Group/Promoter.h"

namespace camphorstep::gateway {

namespace {

/// The control timeout in response times.
constexpr int kTimeoutResponses = 2;
/// Failures in a row after which a host waits at all.
constexpr std::uint32_t kFailuresUntilDelay = 2;
/// A delay is varied by up to this many percent, so that hosts do not meet.
constexpr std::uint64_t kJitterPercent = 50;

/// Varies a delay in a way of this host's own.
Duration
Vary(const Context& aContext, const Backend& aBackend, Duration aDelay)
{
  const std::uint64_t hash =
    Hash64(aContext.mState.mSelf.mEntry.mName + aBackend.mEntry.mName +
           std::to_string(aBackend.mControlFailures));
  const auto percent =
    static_cast<Duration::rep>(100 + hash % (kJitterPercent + 1));
  return aDelay * percent / 100;
}

}

Duration
ControlTimeout(const Context& aContext, const Backend& aBackend)
{
  // One that is not heard at all is gone rather than late. When it returns, it
  // is to be asked soon.
  const bool isGone =
    aContext.mNow - aBackend.mLastReceivedAt > kMaxStatusTimeout;
  return isGone ? kStatusTimeout
                : std::clamp(aBackend.mControlTimeout,
                             kStatusTimeout,
                             kMaxStatusTimeout);
}

bool
MayOpenControl(const Context& aContext, const Backend& aBackend)
{
  return aContext.mNow >= aBackend.mControlOpenAfter;
}

void
NoteControlFailure(Context& aContext, Backend& aBackend)
{
  const std::uint32_t n = ++aBackend.mControlFailures;
  // The promoter has to find out soon what has become of a server.
  if (HoldsPromoterLease(aContext)) {
    return;
  }
  aBackend.mControlTimeout = ControlTimeout(aContext, aBackend) * 2;
  if (n < kFailuresUntilDelay) {
    return;
  }
  constexpr std::uint32_t kMostDoublings = 8;
  const auto factor = static_cast<Duration::rep>(
    1U << std::min(n - kFailuresUntilDelay, kMostDoublings));
  aBackend.mControlOpenAfter =
    aContext.mNow +
    Vary(aContext,
         aBackend,
         std::min(kUrgentSampleInterval * factor, kMaxControlDelay));
}

void
KeepLateControl(Context& aContext, Backend& aBackend)
{
  const Link* const link = Find(aContext.mState.mLinks, aBackend.mControlLink);
  if (link == nullptr || !link->mReady || aBackend.mLateControlLink) {
    DropLink(aContext, aBackend.mControlLink);
    return;
  }
  aBackend.mLateControlLink = std::exchange(aBackend.mControlLink, LinkId{});
}

void
DropOverdueControl(Context& aContext, Backend& aBackend)
{
  const Link* const link =
    Find(aContext.mState.mLinks, aBackend.mLateControlLink);
  if (link != nullptr &&
      (link->mExchanges.empty() ||
       aContext.mNow - link->mExchanges[0].mSentAt >= kMaxStatusTimeout)) {
    DropLink(aContext, aBackend.mLateControlLink);
  }
}

void
HandleControlAnswer(Context& aContext,
                    Backend& aBackend,
                    LinkId aLink,
                    Duration aResponseTime)
{
  aBackend.mControlFailures = 0;
  aBackend.mControlTimeout = aResponseTime * kTimeoutResponses;
  if (aLink != aBackend.mLateControlLink) {
    return;
  }
  // A server with many callers may have no other connection.
  const Link* const link = Find(aContext.mState.mLinks, aBackend.mControlLink);
  if (link != nullptr && link->mReady) {
    DropLink(aContext, aLink);
    return;
  }
  DropLink(aContext, aBackend.mControlLink);
  aBackend.mControlLink = std::exchange(aBackend.mLateControlLink, LinkId{});
}

}
