#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// The primary of a group if it is proved that nobody else leads: itself and
/// a replica have said so to requests that were sent less than the lease time
/// ago, and whoever promotes another server waits as long after it has paused
/// the replicas. Otherwise nullptr.
Backend* ProvenPrimary(Context& aContext, const Group& aGroup);

/// Until when the primary of a group is proved to lead.
Instant EvidenceEnd(const Context& aContext, const Group& aGroup);

/// Asks a server for its status, on its control connection.
void SampleServer(Context& aContext, Backend& aBackend);

/// Sends a status request or an order that is answered with the status.
void SendControl(Context& aContext, Backend& aBackend, BackendVerb, Term);

/// Whether the control connection is free for a request.
bool IsControlFree(const Context& aContext, const Backend& aBackend);

void HandleStatusReply(Context& aContext,
                       Backend& aBackend,
                       const BackendReply& aReply,
                       Instant aAskedAt);

/// Takes a server's status into account, which was asked for at a time.
void TakeStatus(Context& aContext,
                Backend& aBackend,
                const BackendStatus& aStatus,
                Instant aAskedAt);

/// Asks all servers of a group, and sets the time for the next round.
void SampleGroup(Context& aContext, Group& aGroup);

/// Has a group sampled soon.
void RequestUrgentSample(Context& aContext, Group& aGroup);

/// Notes that a server refused a statement because it does not lead.
void NoteLostLead(Context& aContext, Backend& aBackend);

/// Notes that a connection to a server ended or was refused.
void NoteLostConnection(Context& aContext, Backend& aBackend, bool aControl);

}
