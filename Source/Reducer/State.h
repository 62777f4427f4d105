#pragma once

#include <cstdint>
#include <limits>

#include "Common/Mac.h"
#include "Configuration/ConfigurationState.h"
#include "Dispatcher/DispatcherState.h"
#include "Entry/EntryState.h"
#include "Keeper/KeeperState.h"
#include "Membership/MembershipState.h"
#include "Membership/StopState.h"
#include "Model/Topology.h"
#include "Reducer/Counters.h"

namespace camphorstep {

/// The complete state of one host's core. Plain data: one process can hold many
/// states.
struct State
{
  HostId mSelf;
  Place mPlace;
  /// Drawn at random at process start.
  std::uint64_t mIncarnation = 0;
  std::uint64_t mLastSequence = 0;
  /// When the process started, in microseconds since 1970, UTC.
  std::uint64_t mStartedAt = 0;
  /// The generation that the platform gave the host; zero if unknown.
  std::uint64_t mGeneration = 0;
  /// Key that authenticates session tokens and transaction handles.
  MacKey mSessionKey{};
  Topology mTopology;
  /// Calls that the host can hold at once.
  int mMaxCalls = std::numeric_limits<int>::max();
  /// Whether a planned stop is in progress.
  bool mStopping = false;
  StopState mStop;

  EntryState mEntry;
  DispatcherState mDispatcher;
  KeeperState mKeeper;
  ConfigurationState mConfiguration;
  MembershipState mMembership;
  Counters mCounters;
};

}
