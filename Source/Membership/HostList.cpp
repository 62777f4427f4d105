#include "Membership/HostList.h"

#include <algorithm>

#include "Configuration/StoreAccess.h"
#include "Keeper/Keeper.h"
#include "Keeper/SwitchOver.h"
#include "Membership/Membership.h"
#include "Membership/Relays.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// How often the first relay of a data centre reads the list.
constexpr Duration kListInterval = std::chrono::milliseconds(500);
/// Interval at which an unchanged list is forwarded.
constexpr Duration kNoticeInterval = std::chrono::seconds(10);
/// A relay's list is dropped at the next notice once it is older than this.
constexpr Duration kListLifetime = std::chrono::seconds(30);

LeavingNotice
ToNotice(const std::vector<ListedMachine>& aMachines)
{
  LeavingNotice notice;
  for (const ListedMachine& machine : aMachines) {
    if (machine.mLeaving) {
      notice.mMachines.push_back(
        { Hash64(machine.mName), machine.mGeneration });
    }
  }
  return notice;
}

void
ForwardNotice(Context& aContext, const LeavingNotice& aNotice)
{
  const State& state = aContext.mState;
  for (const auto& [id, peer] : state.mMembership.mPeers) {
    const Host* const host = state.mTopology.FindHost(id);
    if (peer.mConnected && host != nullptr &&
        host->mPlace.mDataCentre == state.mPlace.mDataCentre) {
      SendTo(aContext, id, aNotice);
    }
  }
}

}

void
TickHostList(Context& aContext)
{
  State& state = aContext.mState;
  MembershipState& membership = state.mMembership;
  if (membership.mReadingList ||
      aContext.mNow - membership.mLastListRead < kListInterval) {
    return;
  }
  const std::optional<Duration> interval = PollInterval(state, kListInterval);
  if (!interval || aContext.mNow - membership.mLastListRead < *interval) {
    return;
  }
  if (const auto call = BeginStoreCall(aContext, StorePurpose::HostList)) {
    membership.mLastListRead = aContext.mNow;
    membership.mReadingList = true;
    Emit(aContext, ReadHostList{ *call });
  }
}

void
ReplaceLeavingPrimaries(Context& aContext)
{
  State& state = aContext.mState;
  MembershipState& membership = state.mMembership;
  if (aContext.mNow - membership.mLastLeavingCheck < kListInterval) {
    return;
  }
  membership.mLastLeavingCheck = aContext.mNow;
  for (const auto& [id, machine] : membership.mListedLeaving) {
    const ServerId server{ id };
    const Server* const known = state.mTopology.FindServer(server);
    if (known != nullptr && PrimaryOf(state, known->mDatabase) == server &&
        DispatcherOf(state, server) == state.mSelf) {
      HandleServerLeaving(aContext, ServerLeaving{ server });
    }
  }
}

void
HandleHostListAnswered(Context& aContext, const HostListAnswered& aEvent)
{
  MembershipState& membership = aContext.mState.mMembership;
  if (!EndStoreCall(aContext, aEvent.mCall, aEvent.mStatus)) {
    return;
  }
  membership.mReadingList = false;
  if (aEvent.mStatus != StoreStatus::Ok) {
    return;
  }
  const LeavingNotice notice = ToNotice(aEvent.mMachines);
  const bool changed =
    notice.mMachines !=
    membership.mRelayedLists[aContext.mState.mSelf].mMachines;
  HandleLeavingNotice(aContext, aContext.mState.mSelf, notice);
  if (changed || aContext.mNow - membership.mLastNotice >= kNoticeInterval) {
    membership.mLastNotice = aContext.mNow;
    ForwardNotice(aContext, notice);
  }
}

void
HandleLeavingNotice(Context& aContext,
                    HostId aFrom,
                    const LeavingNotice& aMessage)
{
  MembershipState& membership = aContext.mState.mMembership;
  // Lists expire only when another notice arrives, so that the last one
  // remains in effect during an outage of the platform.
  std::erase_if(membership.mRelayedLists, [&](const auto& aItem) {
    return aContext.mNow - aItem.second.mReceivedAt > kListLifetime;
  });
  membership.mRelayedLists[aFrom] = { aMessage.mMachines, aContext.mNow };
  membership.mListedLeaving.clear();
  for (const auto& [relay, list] : membership.mRelayedLists) {
    for (const LeavingMachine& machine : list.mMachines) {
      LeavingMachine& known = membership.mListedLeaving[machine.mId];
      known.mId = machine.mId;
      known.mGeneration = std::max(known.mGeneration, machine.mGeneration);
    }
  }
}

bool
IsHostLeaving(const State& aState, HostId aHost)
{
  const auto peer = aState.mMembership.mPeers.find(aHost);
  const bool known = peer != aState.mMembership.mPeers.end();
  if (known && peer->second.mLeaving) {
    return true;
  }
  const auto listed = aState.mMembership.mListedLeaving.find(aHost.mValue);
  if (listed == aState.mMembership.mListedLeaving.end()) {
    return false;
  }
  const bool restarted =
    known && peer->second.mGeneration > listed->second.mGeneration;
  return !restarted;
}

bool
IsServerLeaving(const State& aState, ServerId aServer)
{
  return aState.mMembership.mListedLeaving.contains(aServer.mValue);
}

}
