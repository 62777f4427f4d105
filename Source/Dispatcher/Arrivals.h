#pragma once

#include "Dispatcher/DispatcherState.h"

namespace camphorstep {

struct Context;

/// Queues a request, or holds it until the server has applied the position that
/// it needs or until its rank may begin another transaction. Returns false if
/// the request was refused.
bool Admit(Context& aContext, ServerDispatch& aDispatch, QueuedRequest aQueued);

/// Queues the reads whose position the server has applied, and refuses those
/// that have waited for it as long as their profile allows. Waiting reads hold
/// neither a slot nor a connection.
void QueueReadsAtPosition(Context& aContext, ServerDispatch& aDispatch);

/// Holds a transaction until its rank may begin another one. Returns false if
/// the rank's queue limit is reached and the transaction was refused.
bool AwaitTransactionCap(Context& aContext,
                         ServerDispatch& aDispatch,
                         QueuedRequest aQueued);

/// Queues the next waiting transaction of each rank that may begin another one.
void QueueTransactionsUnderCap(Context& aContext, ServerDispatch& aDispatch);

}
