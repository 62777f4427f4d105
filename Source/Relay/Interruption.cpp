#include "Relay/Interruption.h"

namespace camphorstep::gateway {

InterruptedOutcome
OutcomeOf(const InterruptedStatement& aStatement)
{
  if (aStatement.mMayCommitWrites && aStatement.mMayHaveRun) {
    return { ResultCode::ConnectionLost, TransactionState::None };
  }
  if (aStatement.mKind == StatementKind::Rollback) {
    return { ResultCode::Ok, TransactionState::None };
  }
  if (aStatement.mTransaction == TransactionState::None) {
    return { ResultCode::Overloaded, TransactionState::None };
  }
  const bool isCommit = aStatement.mKind == StatementKind::Commit;
  return { ResultCode::TransactionAborted,
           isCommit ? TransactionState::None : TransactionState::Failed };
}

}
