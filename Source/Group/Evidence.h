#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Returns the primary of a group if no other server can be primary now,
/// otherwise nullptr. The evidence is that the primary and a replica have
/// confirmed it in answers to requests sent less than the lease time ago (in a
/// group of one server, the primary alone). A promoter waits as long after it
/// has paused the replicas before it promotes another server.
Backend* ConfirmedPrimary(Context& aContext, const Group& aGroup);

/// Returns when the evidence for a group's primary expires; Instant::min() if
/// there is none.
Instant EvidenceEnd(const Context& aContext, const Group& aGroup);

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

void HandleStatusReply(Context& aContext,
                       Backend& aBackend,
                       const BackendReply& aReply,
                       Instant aAskedAt);

/// Applies a server's status, which was requested at aAskedAt.
void ApplyStatus(Context& aContext,
                 Backend& aBackend,
                 const BackendStatus& aStatus,
                 Instant aAskedAt);

/// Samples all servers of a group, unless other hosts supply their statuses,
/// and arms the timer for the next round.
void SampleGroup(Context& aContext, Group& aGroup);

/// Samples a group after the urgent interval at the latest.
void RequestUrgentSample(Context& aContext, Group& aGroup);

/// Notes that a server refused a statement because it is not the primary.
void NoteLostLeadership(Context& aContext, Backend& aBackend);

/// Notes that a connection to a server ended or was refused.
void NoteLostConnection(Context& aContext, Backend& aBackend, bool aControl);

}
