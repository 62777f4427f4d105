#pragma once

#include "Entry/EntryState.h"
#include "Messages/PeerMessage.h"
#include "Model/Ids.h"
#include "Model/ResultCode.h"

namespace camphorstep {

struct Context;

/// Schedules the next attempt of a request after a delay.
void ScheduleRetry(Context& aContext, RequestId aId, Duration aDelay);

/// Whether a failed attempt may be retried. A write that is neither idempotent
/// nor has an idempotency key is retried only if no attempt of it can have run.
bool CanRetry(const Context& aContext,
              const PendingRequest& aPending,
              const ForwardAnswer& aAnswer);

/// Retries a request: at once on the primary if a replica was behind, else
/// after a delay.
void Retry(Context& aContext,
           RequestId aId,
           PendingRequest& aPending,
           ResultCode aReason);

}
