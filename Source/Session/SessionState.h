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

/// A statement that a caller has prepared under a name in its session.
struct PreparedStatement
{
  bool mWrites = false;
  std::string mShape;

  auto operator<=>(const PreparedStatement&) const = default;
};

/// The stage of processing of a session's statement.
enum class StatementStage : std::uint8_t
{
  /// Waits for a token of its account's limit.
  AwaitingToken,
  /// Waits until the group has a proven primary or a fresh replica.
  AwaitingServer,
  /// Waits in the queue of a server.
  Queued,
  /// The server has been asked to begin the session's transaction.
  Beginning,
  /// The server has the statement.
  Running,
  /// Waits for the delay before a retry.
  AwaitingRetry,
};

/// The sort key of a statement in a server's queue: by urgency, the most urgent
/// first, then in the order of arrival.
struct QueuePlace
{
  std::uint32_t mUrgency = 0;
  std::uint64_t mSequence = 0;

  auto operator<=>(const QueuePlace&) const = default;
};

/// The statement of a session that is being processed.
struct ActiveStatement
{
  Statement mStatement;
  StatementStage mStage = StatementStage::AwaitingServer;
  Instant mArrivedAt;
  /// When it was last sent to a server.
  Instant mSentAt;
  /// Until when it may wait in a queue for its first attempt, so that its
  /// answer can arrive before the deadline.
  Instant mQueueDeadline;
  Instant mDeadline;
  /// How often the statement, or the begin of its transaction, was sent to a
  /// server.
  std::uint32_t mAttempts = 0;
  /// The server at which it is queued or running.
  ServerId mServer;
  /// The connection that carries it.
  LinkId mLink;
  /// The server that refused or lost it last; avoided if there is another.
  ServerId mAvoidedServer;
  QueuePlace mPlace;
  /// The request for a token that it waits for; zero if it does not.
  std::uint64_t mTokenRequest = 0;
};

/// The transaction of a session.
struct Transaction
{
  TransactionState mState = TransactionState::None;
  bool mReadOnly = false;
  bool mHasWritten = false;
  /// Whether it was counted against its account's limit.
  bool mIsAllowed = false;
  /// The number of statements that succeeded in it.
  std::uint32_t mStatements = 0;
  /// The route at its beginning, used until its end.
  std::optional<Route> mRoute;
  /// Whether that route needs no key.
  bool mIsPublic = false;
  /// The connection reserved for it; none before its first statement.
  LinkId mLink;
  /// Whether no answer has reported yet that the transaction was aborted.
  bool mIsAbortUnreported = false;
};

/// The log position of a session's commit, and when it was acknowledged.
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
  /// The caller's key, and the client account that it belongs to; none on
  /// public routes and in deployments without accounts.
  KeyDigest mKey;
  AccountId mAccount;
  std::map<std::string, std::string> mValues;
  std::map<std::string, PreparedStatement> mPrepared;
  /// What the values and the prepared statements take, in bytes.
  std::size_t mValueBytes = 0;
  std::size_t mPreparedBytes = 0;
  /// What the shell was last told that the whole session takes.
  std::size_t mReportedBytes = 0;
  Transaction mTransaction;
  /// The last commit of the session, and the group in which it was made.
  SessionCommit mLastCommit;
  std::string mCommitGroup;
  std::optional<ActiveStatement> mActive;
  /// Statements that arrived before the answer to the active one.
  std::deque<Statement> mPipeline;
  /// Whether a statement is expected soon: the caller has just opened the
  /// session, set a value or changed its prepared statements.
  bool mIsStatementExpected = true;
  /// Since when no statement has been in progress.
  Instant mIdleSince;
};

}
