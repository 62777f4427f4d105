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
#include "Gateway/LogLimit.h"
#include "Gateway/Timers.h"
#include "Group/GroupState.h"
#include "RateLimits/RateLimitState.h"
#include "Relay/RelayState.h"
#include "Session/SessionState.h"

namespace camphorstep::gateway {

/// This host's own entry and settings.
struct Identity
{
  HostEntry mEntry;
  /// The region of each data centre.
  std::unordered_map<std::string, std::string> mRegions;
  /// How long a planned stop may take before the process is killed.
  Duration mStopGrace{ 6'000'000 };
  /// The most that the values and prepared statements of a session may take, in
  /// bytes; 0 sets no limit.
  std::size_t mMaxSessionBytes = 0;
  /// Whether sessions may be passed on to owners of connections.
  bool mIsRelaying = false;
  /// Callers with a key are refused once the configuration has not been
  /// confirmed for this long; zero turns that off.
  Duration mRevokeTimeout{ 0 };
};

/// The progress of a planned stop.
struct Stop
{
  bool mUnderway = false;
  Instant mStartedAt;
  bool mComplete = false;
};

/// The complete state of one host. It is plain data without globals, so that a
/// process can hold several.
struct State
{
  Identity mSelf;
  Timers mTimers;
  /// The last identifier that was assigned.
  std::uint64_t mLastId = 0;
  /// The time of the last event.
  Instant mLastEventAt;
  /// When the host started, or resumed after its last stall.
  Instant mResumedAt;
  bool mReady = false;
  Stop mStop;

  std::unordered_map<SessionId, Session> mSessions;
  std::unordered_map<LinkId, Link> mLinks;
  std::unordered_map<ServerId, Backend> mBackends;
  std::map<GroupId, Group> mGroups;
  Catalogue mCatalogue;
  PromoterState mPromoter;
  FleetState mFleet;
  RateLimitState mRateLimits;
  RelayState mRelays;
  Counters mCounters;
  /// Lines on what callers were refused.
  LogLimit mRefusalLog;
  /// Limits the log records on callers that are refused for their key.
  LogLimit mRefusedSessionLog;
  LogLimit mRefusedStatementLog;
};

}
