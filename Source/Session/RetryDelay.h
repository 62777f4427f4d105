#pragma once

#include <string_view>

#include "Gateway/Context.h"

// When callers whose statements are refused should come back: as soon as there
// is likely to be room for them, and not all together.

namespace camphorstep::gateway {

/// Returns the delay before a retry for a caller that would have to wait for a
/// time; zero if that time is not known. It is long enough for the caller not
/// to be refused again at once, and no longer than the statement's time limit,
/// since callers give up. Delays differ by request, so that callers who were
/// refused together do not return together.
Duration RetryDelay(Duration aExpectedWait,
                    Duration aTimeLimit,
                    std::string_view aRequest);

/// The delay to advise to the caller of a session's active statement. It
/// follows the queue, or the loss of the primary, that the statement waits for.
Duration AdvisedRetryDelay(const Context& aContext, const Session& aSession);

}
