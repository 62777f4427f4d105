#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Returns the primary of a group if no other server can be primary now,
/// otherwise nullptr. The evidence is that the primary and a replica have
/// confirmed it in answers to requests sent less than the lease time ago (in a
/// group of one server, the primary alone). A promoter waits as long after it
/// has paused the replicas before it promotes another server.
///
/// A replica can lose its pause while the promotion is carried out. Until then
/// all replicas were paused for as long as evidence is valid, so evidence that
/// has no gap is not affected. Where it begins, or begins again after a gap,
/// the primary's term must not be retired, and the retired terms must have been
/// confirmed late enough to include each order that was given before.
Backend* ConfirmedPrimary(Context& aContext, const Group& aGroup);

/// Returns when the evidence for a group's primary expires; Instant::min() if
/// there is none.
Instant EvidenceEnd(const Context& aContext, const Group& aGroup);

/// Applies a server's status, which was requested at aAskedAt.
void ApplyStatus(Context& aContext,
                 Backend& aBackend,
                 const BackendStatus& aStatus,
                 Instant aAskedAt);

/// Applies a change of what is known of retired terms to the evidence of all
/// groups.
void RefreshEvidence(Context& aContext);

/// Notes that a server refused a statement because it is not the primary.
void NoteLostLeadership(Context& aContext, Backend& aBackend);

}
