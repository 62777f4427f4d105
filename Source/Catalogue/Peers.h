#pragma once

#include <vector>

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// What this host knows of the store's tables, for a host that asks, with the
/// rows of those that have changed since.
std::vector<TableReport> MakeTableReports(const Context& aContext,
                                          const PeerQuery& aQuery);

/// Whether rows have changed since a host that asks last heard of them.
bool HasTableChanges(const Context& aContext, const PeerQuery& aQuery);

/// Takes what another host knows of the store's tables into account. The
/// report was sent at a time or later.
void ApplyTableReports(Context& aContext,
                       const PeerReport& aReport,
                       Instant aSentAt);

}
