#pragma once

#include <vector>

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// What this host knows of the store's tables, for a host that asks, with the
/// rows of those that have changed since.
std::vector<TableReport> ReportTables(const Context& aContext,
                                      const PeerQuery& aQuery);

/// Whether rows have changed since a host that asks last heard of them.
bool HasTableNews(const Context& aContext, const PeerQuery& aQuery);

/// Takes what another host knows of the store's tables into account. The
/// report was sent at a time or later.
void ApplyTableNews(Context& aContext,
                    const PeerReport& aReport,
                    Instant aSentAt);

}
