#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Samples all servers of a group, unless other hosts supply their statuses,
/// and arms the timer for the next round.
void SampleGroup(Context& aContext, Group& aGroup);

/// Samples a group after the urgent interval at the latest.
void RequestUrgentSample(Context& aContext, Group& aGroup);

/// Requests a server's status on its control connection. Opens the connection
/// if there is none, and closes it if it is silent.
void RequestStatus(Context& aContext, Backend& aBackend);

/// Sends a status request, or a command that is answered with the status, on
/// the control connection if there is one.
void SendControlRequest(Context& aContext,
                        Backend& aBackend,
                        BackendVerb,
                        Term);

/// Whether the control connection is open and no request is in flight on it.
bool IsControlFree(const Context& aContext, const Backend& aBackend);

/// Applies the answer to a request that was sent at aAskedAt, and reports it to
/// other hosts: at once if the group's leadership has changed.
void HandleStatusReply(Context& aContext,
                       Backend& aBackend,
                       const BackendReply& aReply,
                       Instant aAskedAt);

/// Notes that a connection to a server ended or was refused.
void NoteLostConnection(Context& aContext, Backend& aBackend, bool aControl);

}
