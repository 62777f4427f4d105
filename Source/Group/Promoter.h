#pragma once

#include "Gateway/Context.h"
#include "Gateway/Event.h"

namespace camphorstep::gateway {

/// Whether this host may have servers promoted now.
bool HoldsPromoterLease(const Context& aContext);

/// Learns from the store's rows who holds the lease.
void NoteLease(Context& aContext, const TableAnswer& aAnswer);

/// Takes, renews or gives back the lease if it is time.
void MaintainPromoterLease(Context& aContext);

/// Takes the outcome of a write of the lease. Returns whether the call was
/// one.
bool HandleLeaseWritten(Context& aContext, const StoreWritten& aEvent);

}
