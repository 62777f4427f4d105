#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "Accounts/KeyDigest.h"
#include "Common/Time.h"
#include "Gateway/Ids.h"
#include "Gateway/Statement.h"

namespace camphorstep::gateway {

/// Where a session stands that this host passes on to an owner.
enum class RelayStage : std::uint8_t
{
  /// The owner has been asked to open it.
  Opening,
  /// The owner runs it.
  Open,
  /// It has no owner and nothing that an owner would have to know. The next
  /// statement gets one.
  Detached,
  /// It lost its owner in a transaction, which was rolled back. It ends with
  /// the caller's next commit or rollback.
  Broken,
};

/// A statement that was sent to the owner and is not answered yet.
struct SentStatement
{
  Statement mStatement;
  Instant mSentAt;
  /// When the owner is taken to be frozen if it has not answered.
  Instant mDeadline;
  /// Whether it may commit writes, so that its outcome is unknown if the answer
  /// is lost.
  bool mMayCommitWrites = false;
  /// Whether the session had state before it.
  bool mHadState = false;
};

/// A caller's session that this host passes on.
struct RelayedSession
{
  SessionId mId;
  std::string mDatabase;
  KeyDigest mKey;
  RelayStage mStage = RelayStage::Opening;
  /// The name of the host that runs it, and its number between the two hosts,
  /// which is a new one for each opening.
  std::string mOwner;
  RelayId mRelay;
  /// Whether the caller has been told that its session is open.
  bool mIsAccepted = false;
  /// Whether another host could not continue it: it has values, prepared
  /// statements or writes of its own that its reads must show.
  bool mHasState = false;
  TransactionState mTransaction = TransactionState::None;
  bool mHasWritten = false;
  bool mIsAbortUnreported = false;
  /// For each prepared name, whether the statement writes.
  std::map<std::string, bool> mPreparedWrites;
  /// The time limit of its statements.
  Duration mStatementTimeout{ 0 };
  std::optional<SentStatement> mSent;
  /// The number of statements sent since the owner was asked to open it.
  std::uint64_t mSentCount = 0;
  /// Statements that wait for the answer to the one before, or for an owner.
  std::deque<Statement> mHeld;
  /// As in Session.
  bool mIsStatementExpected = true;
  Instant mIdleSince;
};

/// Why an owner is passed over.
enum class OwnerFailure : std::uint8_t
{
  /// It refuses or ends sessions.
  Leaving,
  /// It has not opened a session in time.
  Slow,
  /// The connection to it was lost or could not be opened.
  Unreachable,
  /// It has not answered a statement in time.
  Frozen,
};

/// Until when an owner is passed over.
struct OwnerBackoff
{
  Instant mUntil;
  Duration mNextDelay{ 0 };
  OwnerFailure mFailure = OwnerFailure::Leaving;
  /// Whether its time is over and one session is being opened there.
  bool mIsProbed = false;
};

/// The sessions that this host passes on.
struct RelayState
{
  std::unordered_map<SessionId, RelayedSession> mSessions;
  std::unordered_map<RelayId, SessionId> mSessionIds;
  /// The number of sessions at each owner.
  std::unordered_map<std::string, std::size_t> mSessionCounts;
  std::unordered_map<std::string, OwnerBackoff> mBackoffs;
};

}
