#pragma once

#include <cstdint>
#include <string>

#include "Common/Time.h"
#include "Gateway/Ids.h"

namespace camphorstep::gateway {

/// What a statement of a caller does to its session.
enum class StatementKind : std::uint8_t
{
  Begin,
  BeginReadOnly,
  Commit,
  Rollback,
  Read,
  Write,
  SetValue,
  Prepare,
  Execute,
  Deallocate,
  /// A text that the adapter could not read.
  Malformed,
};

/// A statement of a caller, decoded once.
struct Statement
{
  /// The caller's id for it, which servers are given unchanged.
  std::string mId;
  StatementKind mKind = StatementKind::Malformed;
  /// The text as the caller wrote it.
  std::string mText;
  /// The session value or prepared statement that it names.
  std::string mName;
  /// SetValue: the value. Prepare: the statement's shape. Execute: the
  /// arguments.
  std::string mArgument;
  /// Prepare: whether the prepared statement writes.
  bool mWrites = false;
};

/// The state of a transaction, as both sides of the proxy report it.
enum class TransactionState : std::uint8_t
{
  None,
  Open,
  Failed,
};

}
