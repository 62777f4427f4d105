#pragma once

#include "Dispatcher/DispatcherState.h"
#include "Messages/ServerMessage.h"
#include "Model/Ids.h"

namespace camphorstep {

struct Context;

/// A transaction uses one connection from beginning to end, and the connection
/// carries no other statements. Closing the connection rolls the transaction
/// back. A connection whose transaction may still be open is never reused.

/// Sets a connection's phase after the reply to a request, or closes the
/// connection if the state of its transaction is in doubt.
void FinishRequestOnConnection(Context& aContext,
                               ServerDispatch& aDispatch,
                               ConnectionId aId,
                               const QueuedRequest& aQueued,
                               ServerStatus aStatus);

/// Records the entry host of a transaction's latest request. Callers may change
/// hosts within a transaction.
void NoteTransactionHost(ServerConnection& aConnection, HostId aHost);

/// Whether an idle transaction has exceeded its timeout, which is shorter once
/// its entry host is lost.
bool IsTransactionOverdue(const Context& aContext,
                          const ServerConnection& aConnection);

/// Closes the connection of a transaction whose Begin was cancelled. Returns
/// false if there is no such transaction.
bool AbandonTransaction(Context& aContext,
                        ServerDispatch& aDispatch,
                        TransactionId aTransaction);

/// Abandons the transactions of a lost entry host. Those with a request in
/// flight are closed, since the answer cannot be delivered. The others are
/// closed after a short timeout unless their callers continue through another
/// host.
void AbandonTransactionsOf(Context& aContext, HostId aHost);

}
