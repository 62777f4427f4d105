#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Gateway/Ids.h"
#include "Gateway/StoreRecord.h"
#include "Model/Position.h"

namespace camphorstep::gateway {

/// A position that the primary had when or after it was asked for it.
struct PositionSample
{
  Instant mAskedAt;
  Position mPosition;
};

/// The steps of a change of primary.
enum class TakeoverPhase : std::uint8_t
{
  None,
  /// Replicas are being paused and the old primary is told to step down.
  Fencing,
  /// All hosts' evidence for the old primary is running out.
  Waiting,
  /// The platform has been asked to promote the candidate.
  Promoting,
  /// The candidate has to show that it leads.
  Settling,
};

/// Why a primary is replaced.
enum class TakeoverReason : std::uint8_t
{
  NoPrimary,
  Silent,
  SilentToMany,
  Leaving,
  NotReplicating,
  Interrupted,
};

/// A change of primary that this host carries out.
struct Takeover
{
  TakeoverPhase mPhase = TakeoverPhase::None;
  TakeoverReason mReason = TakeoverReason::NoPrimary;
  /// The term that paused replicas name.
  Term mFenceTerm = 0;
  /// The term that is to end.
  Term mOldTerm = 0;
  ServerId mOldPrimary;
  Instant mStartedAt;
  Instant mFencedAt;
  ServerId mCandidate;
  CallId mCall;
  Instant mCallAfter;
};

/// A replicated group of backend servers.
struct Group
{
  GroupId mId;
  std::string mName;
  GroupRules mRules;
  std::vector<ServerId> mServers;
  /// The most servers that were listed at once: the copies of the data.
  std::size_t mCopies = 0;

  /// The server that claimed the highest term, and that term.
  ServerId mPrimary;
  Term mTerm = 0;
  std::deque<PositionSample> mSamples;
  /// Since when the primary is ahead of all replicas and none moves on.
  std::optional<Instant> mAheadSince;
  /// Since when no server is proved to lead.
  std::optional<Instant> mUnprovenSince;
  /// Since when no server claims to lead.
  std::optional<Instant> mNoPrimarySince;
  std::uint64_t mFurthestReplica = 0;
  /// Sessions whose statement no server may take at the moment.
  std::set<SessionId> mHeld;
  Takeover mTakeover;
};

}
