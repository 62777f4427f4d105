#pragma once

#include "Entry/EntryState.h"
#include "Model/ResultCode.h"

namespace camphorstep {

/// Whether a retry for this reason counts against the budget because it adds
/// load to a server that may be failing. Retries after refusals that cost the
/// server nothing do not count.
bool CostsRetryBudget(ResultCode aReason);

/// Adds the profile's budget percentage of one retry to the service's budget,
/// once for each accepted request, so that retries do not multiply the load
/// during an outage.
void EarnRetryBudget(EntryState& aEntry, const PendingRequest& aPending);

bool HasRetryBudget(const EntryState& aEntry, const PendingRequest& aPending);

void SpendRetryBudget(EntryState& aEntry, const PendingRequest& aPending);

/// Returns the delay before the next attempt: exponential up to the profile's
/// maximum, with jitter between half and all of it.
Duration RetryDelay(RequestId aId, const PendingRequest& aPending);

}
