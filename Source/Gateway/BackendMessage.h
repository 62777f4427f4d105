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

/// What a backend server is asked to do.
enum class BackendVerb : std::uint8_t
{
  Begin,
  BeginReadOnly,
  Commit,
  Rollback,
  /// Runs the text of a caller's statement unchanged.
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

/// One exchange with a backend server.
struct BackendRequest
{
  /// The caller's id, or empty for a statement of the proxy's own.
  std::string mId;
  BackendVerb mVerb = BackendVerb::Status;
  /// Run: the text.
  std::string mText;
  /// The session value or prepared statement that is named.
  std::string mName;
  /// SetValue: the value. Prepare: the shape. Execute: the arguments.
  std::string mArgument;
  /// Prepare: whether the prepared statement writes.
  bool mWrites = false;
  /// The log position that the server must have applied.
  std::optional<Position> mAfter;
  /// Pause, StepDown: the term.
  Term mTerm = 0;
};

/// What a backend server says of itself.
struct BackendStatus
{
  bool mPrimary = false;
  /// The newest term in its log.
  Term mTerm = 0;
  /// The furthest position that it has received, applied or not.
  Position mReceived;
  /// The term of the pause that holds the replica; zero if none does.
  Term mPausedBy = 0;
  /// How far it applies behind what it receives.
  Duration mLag{ 0 };
  std::uint32_t mBusySlots = 0;
  /// Connections that it holds, from everyone.
  std::uint32_t mConnections = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPrimary);
    ArchivePacked(aArchive, mTerm);
    ArchivePacked(aArchive, mReceived.mTerm);
    ArchivePacked(aArchive, mReceived.mIndex);
    ArchivePacked(aArchive, mPausedBy);
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
  /// The server's proof that it ran the statement; empty for others.
  std::string mSignature;
  std::string mErrorText;
  TransactionState mState = TransactionState::None;
  /// The position that the server has applied, if it has a log.
  std::optional<Position> mPosition;
  /// The answer to Status, Pause, Resume and StepDown.
  std::optional<BackendStatus> mStatus;
};

}
