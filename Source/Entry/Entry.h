#pragma once

#include <vector>

#include "Messages/Event.h"
#include "Messages/PeerMessage.h"
#include "Model/Ids.h"
#include "Model/ResultCode.h"

namespace camphorstep {

struct Context;

/// Cancels the request of a caller that has disconnected.
void HandleCallerGone(Context& aContext, const CallerGone& aEvent);

/// Answers the caller, or retries the request if that is allowed. Answers to
/// finished requests or earlier attempts are counted and dropped.
void HandleForwardAnswer(Context& aContext, const ForwardAnswer& aAnswer);

/// Fails the current attempts of the requests that were sent to a host whose
/// connection was lost.
void FailRequestsThroughHost(Context& aContext, HostId aHost);

/// Fails the current attempts of requests that can no longer be answered. Their
/// outcome is unknown; they are retried if that is allowed.
void FailAttempts(Context& aContext,
                  const std::vector<RequestId>& aRequests,
                  ResultCode aCode);

/// Handles expired deadlines and due retries, and refreshes views.
void TickEntry(Context& aContext);

}
