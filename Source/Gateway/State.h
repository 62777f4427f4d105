#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "Backend/BackendState.h"
#include "Catalogue/CatalogueState.h"
#include "Common/Time.h"
#include "Fleet/FleetState.h"
#include "Gateway/Counters.h"
#include "Gateway/Ids.h"
#include "Gateway/Timers.h"
#include "Group/GroupState.h"
#include "Session/SessionState.h"

namespace camphorstep::gateway {

/// Who and where this host is.
struct Identity
{
  HostEntry mEntry;
  /// The region of each data centre.
  std::unordered_map<std::string, std::string> mRegions;
  /// How long a stop may take before the process is killed.
  Duration mStopGrace{ 6'000'000 };
};

/// A planned stop.
struct Stop
{
  bool mUnderway = false;
  Instant mStartedAt;
  bool mComplete = false;
};

/// Everything that one host knows. Plain data: many states can live in one
/// process.
struct State
{
  Identity mSelf;
  Timers mTimers;
  std::uint64_t mLastId = 0;
  /// When the last event came, and since when the host has not stood still.
  Instant mLastEventAt;
  Instant mAwakeSince;
  bool mReady = false;
  Stop mStop;

  std::unordered_map<SessionId, Session> mSessions;
  std::unordered_map<LinkId, Link> mLinks;
  std::unordered_map<ServerId, Backend> mBackends;
  std::map<GroupId, Group> mGroups;
  Catalogue mCatalogue;
  PromoterState mPromoter;
  FleetState mFleet;
  Counters mCounters;
};

}
