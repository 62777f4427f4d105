#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Common/Time.h"
#include "Gateway/Ids.h"
#include "Gateway/PeerMessage.h"

namespace camphorstep::gateway {

/// A host that did not answer, and until when it is passed over.
struct SourceBackoff
{
  Instant mUntil;
  /// How long it is passed over next time.
  Duration mNextDelay{ 0 };
};

/// The host that this one asks for news.
struct SourceState
{
  /// Its name; empty if there is none.
  std::string mSource;
  /// When it became the source.
  Instant mChosenAt;
  /// Whether it has answered the last query in time.
  bool mIsResponsive = false;
  /// Whether it has not answered the last query yet.
  bool mIsQueryPending = false;
  /// Queries sent so far, to all sources, and when the last one was.
  std::uint64_t mLastQueryNumber = 0;
  Instant mAskedAt;
  /// When a part of the report on the pending query last arrived; none if
  /// nothing of it has.
  std::optional<Instant> mLastPartAt;
  /// When the source was last heard.
  Instant mLastReceivedAt;
  /// The statuses that it has reported before.
  std::uint64_t mSequence = 0;
  std::map<std::string, SourceBackoff> mBackoffs;
};

/// A query of another host that waits for news.
struct PendingQuery
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
  SourceState mSourceState;
  std::map<PeerLinkId, PendingQuery> mHeld;
  /// Grows with each status that is taken, and its value at the last report
  /// to all that wait.
  std::uint64_t mSequence = 0;
  std::uint64_t mSharedSequence = 0;
  /// Which hosts last found a server silent.
  std::map<ServerId, std::map<std::string, SilenceReport>> mSilenceReports;
};

}
