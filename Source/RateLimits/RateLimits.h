#pragma once

#include "Gateway/Context.h"
#include "Gateway/Event.h"

namespace camphorstep::gateway {

/// Takes the limits of a configuration that comes into force.
void ApplyLimits(Context& aContext, const RoutingVersion& aVersion);

/// Whether the active statement of a session may run now, as far as its
/// account's limit goes. Otherwise it waits for a token, or has been refused.
/// An operation is a single statement or a transaction, which is counted at its
/// first statement.
bool RequestAllowance(Context& aContext, Session& aSession);

/// Answers another host's query for shares or tokens, now or when this host's
/// own source has answered.
void HandleRateLimitQuery(Context& aContext,
                          const RateLimitQueryReceived& aEvent);

/// Takes the shares or tokens that the source reports.
void HandleRateLimitReport(Context& aContext,
                           const RateLimitReportReceived& aEvent);

/// Queries the granter for shares, or divides them if this host is the granter.
void ExchangeShares(Context& aContext);

/// Refuses the operations of an account that have waited for too long.
void ExpireTokenRequests(Context& aContext, AccountId aAccount);

/// Notes that the store has this host's entry.
void NoteOwnEntryWritten(Context& aContext);

/// Notes changed entries of hosts: this host's place among them, and whether an
/// earlier process of it had the same. Called after they were applied.
void NoteHosts(Context& aContext, const TableAnswer& aAnswer);

}
