#pragma once

#include <cstdint>
#include <string>

#include "Common/Time.h"
#include "Gateway/Ids.h"

namespace camphorstep::gateway {

/// The kind of a caller's statement.
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
  /// The text could not be parsed.
  Malformed,
};

/// A decoded statement of a caller.
struct Statement
{
  /// The caller's id of the statement, passed to servers unchanged.
  std::string mId;
  StatementKind mKind = StatementKind::Malformed;
  /// The text as received from the caller.
  std::string mText;
  /// The name of the session value or prepared statement.
  std::string mName;
  /// SetValue: the value. Prepare: the statement's shape. Execute: the
  /// arguments.
  std::string mArgument;
  /// Prepare: whether the prepared statement writes.
  bool mWrites = false;
};

/// The state of a transaction, as reported by servers and to callers.
enum class TransactionState : std::uint8_t
{
  None,
  Open,
  Failed,
};

}
