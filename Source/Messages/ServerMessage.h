#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "Common/NamedEnum.h"
#include "Common/Time.h"
#include "Model/Ids.h"
#include "Model/Position.h"

namespace camphorstep {

/// What a backend server is asked to do.
enum class ServerOperation : std::uint8_t
{
  /// Opens a connection; nothing else is taken before it.
  Hello,
  /// Runs a statement, in the connection's transaction if one is open.
  Run,
  Begin,
  Commit,
  Rollback,
  /// Reports term, role and positions, after waiting for mMinPosition to be
  /// logged if that is set.
  Status,
  /// Looks up the recorded result of an idempotency key.
  Lookup,
  /// Makes the server refuse writes and log entries of terms below mTerm.
  Fence,
  /// Makes the server primary at mTerm with mVoters.
  Promote,
  /// Makes the server follow mLeader at mTerm.
  Follow,
};

inline constexpr std::array kServerOperationNames{
  EnumName<ServerOperation>{ ServerOperation::Hello, "hello" },
  EnumName<ServerOperation>{ ServerOperation::Run, "run" },
  EnumName<ServerOperation>{ ServerOperation::Begin, "begin" },
  EnumName<ServerOperation>{ ServerOperation::Commit, "commit" },
  EnumName<ServerOperation>{ ServerOperation::Rollback, "rollback" },
  EnumName<ServerOperation>{ ServerOperation::Status, "status" },
  EnumName<ServerOperation>{ ServerOperation::Lookup, "lookup" },
  EnumName<ServerOperation>{ ServerOperation::Fence, "fence" },
  EnumName<ServerOperation>{ ServerOperation::Promote, "promote" },
  EnumName<ServerOperation>{ ServerOperation::Follow, "follow" },
};

/// How a backend server answered. Every status but Ok, Replayed and
/// StatementFailed means that the request did not run.
enum class ServerStatus : std::uint8_t
{
  Ok,
  /// The idempotency key was recorded before; the result is the recorded one.
  Replayed,
  /// The statement failed and changed nothing.
  StatementFailed,
  /// The request needs the primary, and this server is not it.
  NotPrimary,
  /// The request names a term other than the server's.
  WrongTerm,
  /// The applied position is below the one required.
  Behind,
  /// All slots are taken and the server's own queue is full.
  Busy,
  /// A statement declared as a read tried to write.
  AccessViolation,
  /// The idempotency key is not recorded.
  UnknownKey,
  TooManyConnections,
  /// The connection has no open transaction, or it has been rolled back.
  NoTransaction,
  Malformed,
};

enum class ServerRole : std::uint8_t
{
  Replica,
  Primary,
};

/// A request to a backend server. Fields that an operation does not name are
/// left at their defaults.
struct ServerRequest
{
  RequestId mId;
  ServerOperation mOperation = ServerOperation::Status;
  std::string mText;
  bool mWrite = false;
  /// Idempotency key, or empty. The server records key and result in the
  /// same transaction as the write.
  std::string mKey;
  /// Run: the least applied position to read from. Status: the log position
  /// to wait for.
  Position mMinPosition;
  /// The longest time to wait for mMinPosition.
  Duration mWait{ 0 };
  /// Run, Begin, Commit: the term that the server must have, if not zero.
  /// Fence, Promote, Follow: the new term.
  Term mTerm = 0;
  ServerId mLeader;
  std::vector<ServerId> mVoters;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId,
             mOperation,
             mText,
             mWrite,
             mKey,
             mMinPosition,
             mWait,
             mTerm,
             mLeader,
             mVoters);
  }
};

/// A backend server's answer. Every answer carries the server's state.
struct ServerReply
{
  RequestId mId;
  ServerStatus mStatus = ServerStatus::Ok;
  std::string mResult;
  /// The highest term that the server has seen, by fence or promotion.
  Term mTerm = 0;
  ServerRole mRole = ServerRole::Replica;
  /// Applied: what reads see.
  Position mApplied;
  /// Logged: what the server holds, applied or not.
  Position mLogged;
  /// The voters of the highest term that the server has taken log of.
  std::vector<ServerId> mVoters;
  /// Hello, Status and Promote: the first position of each term in the log,
  /// in term order, the latest few only.
  std::vector<Position> mTermStarts;
  /// Fence: the server's term and role before it was fenced at this term.
  Term mFormerTerm = 0;
  ServerRole mFormerRole = ServerRole::Replica;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId,
             mStatus,
             mResult,
             mTerm,
             mRole,
             mApplied,
             mLogged,
             mVoters,
             mTermStarts,
             mFormerTerm,
             mFormerRole);
  }
};

}
