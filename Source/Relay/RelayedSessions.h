#pragma once

#include "Gateway/Context.h"
#include "Gateway/Event.h"

namespace camphorstep::gateway {

/// Passes a new session on to the owner of its group's connections. Returns
/// false if this host is to run it itself.
bool RelaySession(Context& aContext, const SessionOpened& aEvent);

/// Handles a statement of a session that is passed on, if it is one.
void HandleRelayedStatement(Context& aContext, const StatementReceived& aEvent);

/// Ends a session that is passed on, if it is one. Its owner rolls back.
void EndRelayedSession(Context& aContext, SessionId aSession);

void HandleRelayResponse(Context& aContext, const RelayResponse& aResponse);

/// A statement was not sent because too many bytes wait for its owner.
void HandleRelayStatementUnsent(Context& aContext,
                                const RelayStatementUnsent& aEvent);

/// The connection to an owner ended or could not be opened.
void HandleRelayConnectionLost(Context& aContext,
                               const RelayConnectionLost& aEvent);

/// An owner has not opened a session, or answered a statement, in time.
void HandleRelayTimer(Context& aContext, SessionId aSession);

/// If the host is stopping, closes sessions that are passed on and have no
/// statement, no open transaction and no statement expected soon.
void CloseIdleRelayedSessions(Context& aContext);

/// Closes the sessions that are passed on and have no statement underway, also
/// those with an open transaction.
void CloseRelayedTransactions(Context& aContext);

}
