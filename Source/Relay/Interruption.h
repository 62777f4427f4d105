#pragma once

#include "Gateway/Statement.h"
#include "Model/ResultCode.h"

namespace camphorstep::gateway {

/// What is known of a statement whose owner was lost.
struct InterruptedStatement
{
  StatementKind mKind = StatementKind::Malformed;
  /// The state of the session's transaction before it.
  TransactionState mTransaction = TransactionState::None;
  bool mMayCommitWrites = false;
  /// Whether the owner may have received it.
  bool mMayHaveRun = false;
};

/// The answer to an interrupted statement.
struct InterruptedOutcome
{
  ResultCode mCode = ResultCode::Ok;
  TransactionState mState = TransactionState::None;
};

/// What a caller may be told of an interrupted statement. Its owner ends the
/// session, or has ended itself, so a transaction that was not committed is
/// rolled back.
InterruptedOutcome OutcomeOf(const InterruptedStatement& aStatement);

}
