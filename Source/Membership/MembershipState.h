#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Common/Time.h"
#include "Messages/PeerMessage.h"
#include "Model/Ids.h"

namespace camphorstep {

/// The state of a peer as seen by this host.
struct PeerStatus
{
  /// Whether the link on which this host sends is up.
  bool mConnected = false;
  /// Whether the peer reported in its heartbeat that it is leaving.
  bool mLeaving = false;
  /// Whether no heartbeat has arrived from the peer within its limit, or
  /// another host has reported so.
  bool mSilent = false;
  Instant mLastReceivedAt{};
  Instant mLastSent{};
  /// When this host last notified others whether the peer is silent.
  Instant mLastReport{};
  /// Until when a report of another host that the peer is silent is valid.
  Instant mReportedSilentUntil{};
  /// When the link was last opened or replaced.
  Instant mLinkOpenedAt{};
  std::uint64_t mStartedAt = 0;
  std::uint64_t mGeneration = 0;
  /// The version of the configuration in force on the peer.
  std::uint64_t mVersion = 0;
};

/// The leaving machines that one relay has read from the platform's list.
struct RelayedList
{
  std::vector<LeavingMachine> mMachines;
  Instant mReceivedAt{};
};

struct MembershipState
{
  std::unordered_map<HostId, PeerStatus> mPeers;
  Instant mLastHeartbeat{};
  /// The lists of leaving machines received from each relay.
  std::unordered_map<HostId, RelayedList> mRelayedLists;
  /// The machines that any of these lists shows as leaving. Both hosts and
  /// servers are keyed by the value of their identifiers.
  std::unordered_map<std::uint64_t, LeavingMachine> mListedLeaving;
  /// When this host last forwarded its list.
  Instant mLastNotice{};
  /// When this host last read the platform's list, and whether it is doing
  /// so now.
  Instant mLastListRead{};
  bool mReadingList = false;
  /// When this host last checked for leaving primaries.
  Instant mLastLeavingCheck{};
};

}
