#pragma once

#include <optional>

#include "Gateway/Context.h"
#include "Gateway/Event.h"

namespace camphorstep::gateway {

/// Whether this host may have servers promoted now.
bool HoldsPromoterLease(const Context& aContext);

/// Learns from the store's rows who holds the lease.
void NoteLease(Context& aContext, const TableAnswer& aAnswer);

/// The lease as this host knows it, for other hosts.
std::optional<LeaseNews> ReportLease(const Context& aContext);

/// Learns from another host's report who holds the lease.
void ApplyLeaseNews(Context& aContext, const NewsReport& aReport);

/// Takes, renews or gives back the lease if it is time.
void MaintainPromoterLease(Context& aContext);

/// Takes the outcome of a write of the lease. Returns whether the call was
/// one.
bool HandleLeaseWritten(Context& aContext, const StoreWritten& aEvent);

}
