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
  /// A primary that answers steps down while the replicas receive its log.
  HandingOver,
  /// Replicas are being paused and the old primary is asked to step down.
  Fencing,
  /// Waits until no host has valid evidence for the old primary.
  AwaitingEvidenceExpiry,
  /// The platform has been asked to promote the candidate.
  Promoting,
  /// Waits until the candidate's status shows it as primary of a newer term.
  Verifying,
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
  /// The term that identifies the pauses of this takeover.
  Term mFenceTerm = 0;
  /// The term of the primary that is replaced.
  Term mOldTerm = 0;
  ServerId mOldPrimary;
  Instant mStartedAt;
  /// When the primary was seen to have stepped down in a handover.
  std::optional<Instant> mSteppedDownAt;
  Instant mFencedAt;
  /// The term that has to be retired before a promotion is ordered, and since
  /// when the store is known to have it so. Zero until the fence is complete.
  Term mRetiredTerm = 0;
  std::optional<Instant> mRetiredAt;
  /// The newest term that an earlier order of unknown outcome may have begun;
  /// zero if there was none.
  Term mUnseenTerm = 0;
  ServerId mCandidate;
  CallId mCall;
  /// When the newest order to promote was given, and its id.
  Instant mOrderedAt;
  CallId mOrder;
  Instant mCallAfter;
  /// Whether the order was given after a handover, without a fence.
  bool mIsHandedOver = false;
  /// Whether a server was not paused while the call was underway, so that
  /// writes may have been acknowledged that the candidate lacks.
  bool mIsFenceBroken = false;
  /// Whether the log says that the list of servers is waited for.
  bool mIsListWaitLogged = false;
};

/// A copy of a group's data on a server that is no longer listed. It may be the
/// only one beside the primary's that has some acknowledged writes.
struct FormerCopy
{
  DataCopy mCopy;
  /// Since when the server has not been listed.
  Instant mSince;
  /// Whether the server has answered since. Then it may still acknowledge
  /// writes, and counts until it is listed again.
  bool mIsAnswering = false;
  /// Whether a listed replica has all that it may have acknowledged.
  bool mIsCovered = false;
};

/// A replicated group of backend servers.
struct Group
{
  GroupId mId;
  std::string mName;
  GroupRules mRules;
  std::vector<ServerId> mServers;
  /// Copies on servers that are no longer listed; see Group/Copies.h.
  std::vector<FormerCopy> mFormerCopies;
  /// When a server last joined the group, and when one that was not leaving was
  /// last removed; see Group/HiddenCopies.h.
  std::optional<Instant> mLastJoinedAt;
  std::optional<Instant> mLastLostAt;

  /// The server whose status shows it as primary of the highest known term, and
  /// that term.
  ServerId mPrimary;
  Term mTerm = 0;
  std::deque<PositionSample> mSamples;
  /// Until when there has been evidence for the primary of a term without a
  /// gap, and that term; see Group/Evidence.h.
  Term mProvedTerm = 0;
  Instant mProvedUntil;
  /// Since when the primary is ahead of all replicas and no replica has
  /// received more.
  std::optional<Instant> mReplicationStalledSince;
  /// Since when this host has had too little evidence for a primary.
  std::optional<Instant> mUnconfirmedSince;
  /// Since when no server reports itself as primary.
  std::optional<Instant> mNoPrimarySince;
  std::uint64_t mMaxReplicaIndex = 0;
  /// Sessions whose statement waits for a confirmed primary.
  std::set<SessionId> mHeld;
  Takeover mTakeover;
  /// The first fencing token of the time in which this host, as the promoter,
  /// found two servers not paused. Then no earlier promoter has requested a
  /// promotion.
  std::optional<std::uint64_t> mUnfencedToken;
};

}
