#pragma once

#include "Gateway/Context.h"
#include "Gateway/Event.h"

namespace camphorstep::gateway {

// The log records of takeovers.

/// A takeover has started.
void LogTakeoverStart(Context& aContext, const Group& aGroup);

/// This host no longer holds the promoter's lease and abandons a takeover.
void LogTakeoverLeft(Context& aContext, const Group& aGroup);

/// A takeover is dropped, since the primary has answered.
void LogPrimaryKept(Context& aContext, const Group& aGroup);

/// A takeover has ended with a new primary.
void LogPrimaryReplaced(Context& aContext, const Group& aGroup);

/// The takeover's fence starts anew.
void LogFencingRestart(Context& aContext, const Group& aGroup);

/// A server is not paused although an order to promote is underway.
void LogFenceBroken(Context& aContext, const Group& aGroup);

/// The primary has stepped down in a handover.
void LogSteppedDown(Context& aContext, const Group& aGroup);

/// A handover is given up, and the takeover goes on with a fence.
void LogHandoverFailed(Context& aContext, const Group& aGroup);

/// The takeover waits for the list of servers.
void LogListWait(Context& aContext, const Group& aGroup);

/// An order to promote a server is given, with what the choice rests on.
void LogOrder(Context& aContext,
              const Group& aGroup,
              const Backend& aCandidate,
              Instant aExpiry);

/// The order that a takeover waits for has ended.
void LogOrderAnswer(Context& aContext,
                    const Group& aGroup,
                    CallOutcome aOutcome);

/// An order has ended that no takeover waits for: its effect was seen before,
/// or the change of primary was given up.
void LogUnawaitedAnswer(Context& aContext, const PromoteAnswered& aAnswer);

}
