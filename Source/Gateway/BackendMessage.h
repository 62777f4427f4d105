#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Gateway/Statement.h"
#include "Model/Position.h"
#include "Model/ResultCode.h"
#include "Wire/Packed.h"

namespace camphorstep::gateway {

/// The kind of a request to a backend server.
enum class BackendVerb : std::uint8_t
{
  Begin,
  BeginReadOnly,
  Commit,
  Rollback,
  /// Runs the text of a caller's statement, unchanged.
  Run,
  SetValue,
  Prepare,
  Execute,
  /// Clears session values and prepared statements.
  Reset,
  Status,
  /// Stops a replica from receiving until it is resumed or promoted.
  Pause,
  Resume,
  /// Makes a primary of a lower term a replica.
  StepDown,
};

/// A request to a backend server.
struct BackendRequest
{
  /// The caller's statement id; empty for requests that the proxy originates.
  std::string mId;
  BackendVerb mVerb = BackendVerb::Status;
  /// Run: the statement's text.
  std::string mText;
  /// SetValue: the name of the session value. Prepare, Execute: the name of
  /// the prepared statement.
  std::string mName;
  /// SetValue: the value. Prepare: the statement's shape. Execute: the
  /// arguments.
  std::string mArgument;
  /// Prepare: whether the prepared statement writes.
  bool mWrites = false;
  /// The log position that the server must have applied before it runs the
  /// request; none if any position will do.
  std::optional<Position> mAfter;
  /// Pause: the term of the pause. StepDown: the term below which a primary
  /// becomes a replica.
  Term mTerm = 0;
};

/// The status that a backend server reports.
struct BackendStatus
{
  bool mPrimary = false;
  /// The newest term in the server's log.
  Term mTerm = 0;
  /// The last log position that the server has received, applied or not.
  Position mReceived;
  /// The term of the pause in force on the replica; zero if it is not paused.
  Term mPauseTerm = 0;
  /// The delay between receiving a log entry and applying it.
  Duration mLag{ 0 };
  std::uint32_t mBusySlots = 0;
  /// Open connections to the server, from all hosts and other callers.
  std::uint32_t mConnections = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPrimary);
    ArchivePacked(aArchive, mTerm);
    ArchivePacked(aArchive, mReceived.mTerm);
    ArchivePacked(aArchive, mReceived.mIndex);
    ArchivePacked(aArchive, mPauseTerm);
    ArchivePacked(aArchive, mLag);
    ArchivePacked(aArchive, mBusySlots);
    ArchivePacked(aArchive, mConnections);
  }
};

/// A backend server's answer to one request.
struct BackendReply
{
  std::vector<std::string> mRows;
  ResultCode mCode = ResultCode::Ok;
  /// The server's proof that it ran the statement; empty if it ran none.
  std::string mSignature;
  std::string mErrorText;
  TransactionState mState = TransactionState::None;
  /// The log position that the server has applied, if it reports one.
  std::optional<Position> mPosition;
  /// Set in answers to Status, Pause, Resume and StepDown.
  std::optional<BackendStatus> mStatus;
};

}
