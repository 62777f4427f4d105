#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "Common/Time.h"
#include "Gateway/Ids.h"
#include "Gateway/Statement.h"
#include "Gateway/StoreRecord.h"
#include "Model/Position.h"

namespace camphorstep::gateway {

/// A statement that a caller has prepared under a name of its own.
struct PreparedStatement
{
  bool mWrites = false;
  std::string mShape;

  auto operator<=>(const PreparedStatement&) const = default;
};

/// Where the statement of a session stands.
enum class StatementStage : std::uint8_t
{
  /// Waits until the group has a proven primary or a fresh replica.
  Held,
  /// Waits for a connection or a place at a server.
  Queued,
  /// The server has been asked to begin the session's transaction.
  Beginning,
  /// The server has the statement.
  Running,
  /// Waits to be sent again.
  Paused,
};

/// The place of a statement in a server's queue: the most urgent first, then
/// in the order of arrival.
struct QueuePlace
{
  std::uint32_t mUrgency = 0;
  std::uint64_t mSequence = 0;

  auto operator<=>(const QueuePlace&) const = default;
};

/// The statement that a session waits for.
struct ActiveStatement
{
  Statement mStatement;
  StatementStage mStage = StatementStage::Held;
  Instant mArrivedAt;
  /// When the server was given it.
  Instant mSentAt;
  /// Until when it may wait without any server having been offered it.
  Instant mPatienceEnd;
  Instant mDeadline;
  /// How often a server was given the statement or its transaction's begin.
  std::uint32_t mAttempts = 0;
  /// The server at which it is queued or running.
  ServerId mServer;
  /// The connection that carries it.
  LinkId mLink;
  /// The server that refused or lost it last, avoided if another will do.
  ServerId mAvoid;
  QueuePlace mPlace;
};

/// The transaction of a session.
struct Transaction
{
  TransactionState mState = TransactionState::None;
  bool mReadOnly = false;
  bool mHasWritten = false;
  /// Statements that servers ran in it.
  std::uint32_t mStatements = 0;
  /// The route at its beginning, which holds until its end.
  std::optional<Route> mRoute;
  /// The connection that it owns; none before its first statement.
  LinkId mLink;
  /// Whether the caller still has to be told that the transaction failed.
  bool mAbortUntold = false;
};

/// A commit of a session and when it was acknowledged.
struct SessionCommit
{
  Position mPosition;
  Instant mSince;
};

/// A caller's connection.
struct Session
{
  SessionId mId;
  std::string mDatabase;
  std::map<std::string, std::string> mValues;
  std::map<std::string, PreparedStatement> mPrepared;
  Transaction mTransaction;
  /// The furthest commit of the session, and the group that it is in.
  SessionCommit mLastCommit;
  std::string mCommitGroup;
  std::optional<ActiveStatement> mActive;
  /// Statements that arrived before the answer to the active one.
  std::deque<Statement> mPipeline;
  /// Whether the caller seems to be about to send a statement: it has opened
  /// the session or prepared something, and nothing has run since.
  bool mIsPreparing = true;
  /// Since when it waits for the caller.
  Instant mIdleSince;
};

}
