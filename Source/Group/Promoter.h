#pragma once

#include <optional>

#include "Gateway/Context.h"
#include "Gateway/Event.h"

namespace camphorstep::gateway {

/// Whether this host may have servers promoted now.
bool HoldsPromoterLease(const Context& aContext);

/// How long this host still holds the lease; zero if it does not.
Duration PromoterLeaseLeft(const Context& aContext);

/// Updates the lease from the store's rows.
void ApplyStoredLease(Context& aContext, const TableAnswer& aAnswer);

/// Returns the lease as this host knows it, for a report to another host;
/// nothing if it is not known.
std::optional<LeaseReport> MakeLeaseReport(const Context& aContext);

/// Updates the lease from another host's report.
void ApplyLeaseReport(Context& aContext, const PeerReport& aReport);

/// Claims, renews or releases the lease when due.
void MaintainPromoterLease(Context& aContext);

/// Handles the outcome of a write of the lease. Returns whether the call was
/// such a write.
bool HandleLeaseWritten(Context& aContext, const StoreWritten& aEvent);

}
