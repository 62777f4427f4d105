#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Common/Time.h"
#include "Gateway/Ids.h"
#include "Gateway/PeerMessage.h"

namespace camphorstep::gateway {

/// A host that did not answer, and until when it is passed over.
struct Suspicion
{
  Instant mUntil;
  /// How long it is passed over next time.
  Duration mNext{ 0 };
};

/// The host that this one asks for news.
struct Following
{
  /// Its name; empty if there is none.
  std::string mSource;
  /// When it became the source.
  Instant mChosenAt;
  /// Whether it has answered the last query in time.
  bool mIsTrusted = false;
  /// Whether it has not answered the last query yet.
  bool mWaits = false;
  /// Queries sent so far, to all sources, and when the last one was.
  std::uint64_t mQueries = 0;
  Instant mAskedAt;
  /// When the source was last heard.
  Instant mHeardAt;
  /// The statuses that it has reported before.
  std::uint64_t mSequence = 0;
  std::map<std::string, Suspicion> mSuspicions;
};

/// A query of another host that waits for news.
struct HeldQuery
{
  PeerQuery mQuery;
  Instant mReceivedAt;
};

/// A host's word that servers are silent.
struct SilenceReport
{
  std::uint64_t mHosts = 0;
  Instant mAt;
};

/// What hosts tell each other.
struct FleetState
{
  Following mFollowing;
  std::map<PeerLinkId, HeldQuery> mHeld;
  /// Grows with each status that is taken, and its value at the last report
  /// to all that wait.
  std::uint64_t mSequence = 0;
  std::uint64_t mSharedSequence = 0;
  /// Which hosts last found a server silent.
  std::map<ServerId, std::map<std::string, SilenceReport>> mSilentTo;
};

}
