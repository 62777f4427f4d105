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

/// Applies a server's status, which was requested at aAskedAt.
void ApplyStatus(Context& aContext,
                 Backend& aBackend,
                 const BackendStatus& aStatus,
                 Instant aAskedAt);

/// Notes that a server refused a statement because it is not the primary.
void NoteLostLeadership(Context& aContext, Backend& aBackend);

}
