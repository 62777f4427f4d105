#include "Backend/LinkChoice.h"

#include <algorithm>

namespace camphorstep::gateway {

namespace {

/// For this long, statements with a connection of their own account overtake
/// one that waits for a connection: a few times what opening one takes.
constexpr Duration kOvertakeTimeout = std::chrono::milliseconds(60);

}

LinkDemand*
NextOpening(std::span<LinkDemand> aDemands)
{
  LinkDemand* next = nullptr;
  for (LinkDemand& demand : aDemands) {
    const bool isUnmet = demand.mOpening < demand.mWaiting;
    if (isUnmet && (next == nullptr || demand.mOpening < next->mOpening)) {
      next = &demand;
    }
  }
  return next;
}

bool
EndsOvertaking(Instant aWaitingSince, Instant aNow)
{
  return aNow - aWaitingSince >= kOvertakeTimeout;
}

LinkId
ChooseLinkToClose(std::span<const IdleLink> aIdleLinks,
                  const LinkDemand& aDemand,
                  Instant aNow)
{
  const bool mayTakeWanted = EndsOvertaking(aDemand.mWaitingSince, aNow);
  const IdleLink* oldest = nullptr;
  for (const IdleLink& link : aIdleLinks) {
    if (link.mAccount == aDemand.mAccount ||
        (link.mIsWanted && !mayTakeWanted)) {
      continue;
    }
    const bool isBetter = oldest == nullptr ||
                          link.mIsWanted < oldest->mIsWanted ||
                          (link.mIsWanted == oldest->mIsWanted &&
                           link.mIdleSince < oldest->mIdleSince);
    if (isBetter) {
      oldest = &link;
    }
  }
  return oldest == nullptr ? LinkId{} : oldest->mLink;
}

}
