#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Whether a transaction is open and has not failed.
bool InTransaction(const Session& aSession);

/// Opens a transaction in the session; the server learns of it with the
/// first statement.
void BeginTransaction(Context& aContext, Session& aSession, bool aReadOnly);

/// Ends the session's transaction, if one is open, and has its server roll
/// back.
void RollbackTransaction(Context& aContext, Session& aSession);

/// Marks the session's transaction, if one is open, as failed and has its
/// server roll back.
void FailTransaction(Context& aContext, Session& aSession);

/// Gives the connection of a transaction back after a rollback, or closes it
/// if the server still works for it.
void LeaveTransactionLink(Context& aContext, Session& aSession);

}
