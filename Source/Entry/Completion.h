#pragma once

#include "Entry/EntryState.h"
#include "Messages/CallerMessage.h"
#include "Messages/PeerMessage.h"
#include "Model/Ids.h"
#include "Model/ResultCode.h"

namespace camphorstep {

struct Context;
struct State;

/// Answers the caller and removes the pending request.
void Finish(Context& aContext, RequestId aId, CallerAnswer aAnswer);

/// Finishes a request with an error that the entry itself detected. The outcome
/// is Unknown if an attempt may have run, else NotRun.
void FinishWithError(Context& aContext, RequestId aId, ResultCode aCode);

/// Converts a dispatcher's answer into the caller's answer, with the updated
/// session token.
CallerAnswer MakeCallerAnswer(Context& aContext,
                              const PendingRequest& aPending,
                              const ForwardAnswer& aAnswer);

/// Returns the transaction handle for the caller's next call; empty if there is
/// no open transaction.
std::string NextTransactionHandle(const State& aState,
                                  RequestId aId,
                                  const PendingRequest& aPending);

/// Counts a completed statement outside transactions as a write, a read from a
/// replica or a read from the primary.
void CountServedRequest(State& aState, const PendingRequest& aPending);

}
