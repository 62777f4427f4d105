#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Whether a transaction is open and has not failed.
bool InTransaction(const Session& aSession);

/// Opens a transaction in the session and answers the caller. The begin is sent
/// to a server before the first statement.
void BeginTransaction(Context& aContext, Session& aSession, bool aReadOnly);

/// Ends the session's transaction, if there is one, and rolls it back on its
/// server.
void RollbackTransaction(Context& aContext, Session& aSession);

/// Marks the session's transaction, if one is open, as failed and rolls it back
/// on its server.
void FailTransaction(Context& aContext, Session& aSession);

/// Detaches the connection from the session's transaction and rolls back on it,
/// or closes it if a request is still unanswered.
void ReleaseTransactionLink(Context& aContext, Session& aSession);

}
