#pragma once

#include <cstddef>
#include <cstdint>

#include "Gateway/Context.h"
#include "Gateway/Event.h"

namespace camphorstep::gateway {

/// The most statements that a caller may send before the answer to an earlier
/// one. Normal use of the protocol needs only a few.
constexpr std::size_t kMaxPipeline = 64;

/// Which host may run a session.
enum class SessionPlace : std::uint8_t
{
  AnyHost,
  ThisHost,
};

/// Opens a session, or refuses it.
void OpenSession(Context& aContext,
                 const SessionOpened& aEvent,
                 SessionPlace aPlace);

/// Has this host run a session that the caller knows to be open.
void OpenLocalSession(Context& aContext, const SessionOpened& aEvent);

void HandleSessionOpened(Context& aContext, const SessionOpened& aEvent);

void HandleStatementReceived(Context& aContext,
                             const StatementReceived& aEvent);

void HandleSessionEnded(Context& aContext, const SessionEnded& aEvent);

/// Starts the next statements of a session's pipeline until one is active. If
/// the host is stopping, closes a session that is idle.
void ContinueSession(Context& aContext, SessionId aSession);

/// Routes the active statement of a session to a server, or refuses it if it
/// would wait in vain.
void StartActiveStatement(Context& aContext, Session& aSession);

/// Rolls back a transaction that has been idle for longer than its limit.
void EndIdleTransaction(Context& aContext, SessionId aSession);

}
