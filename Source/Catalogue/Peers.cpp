#include "Catalogue/Peers.h"

#include <algorithm>
#include <utility>

#include "Catalogue/Servers.h"
#include "Catalogue/Tables.h"
#include "Gateway/Readiness.h"

namespace camphorstep::gateway {

namespace {

RoutingVersion
RoutingInForce(const Context& aContext)
{
  const Catalogue& catalogue = aContext.mState.mCatalogue;
  RoutingVersion routing;
  routing.mVersion = catalogue.mRoutingVersion;
  routing.mTransactionIdleTimeout = catalogue.mTransactionIdleTimeout;
  if (catalogue.mAccounts) {
    routing.mAccountRules = catalogue.mAccounts->mRules;
  }
  for (const auto& [name, route] : catalogue.mRoutes) {
    routing.mRoutes.push_back(route);
  }
  for (const auto& [id, group] : aContext.mState.mGroups) {
    if (!group.mRules.mName.empty()) {
      routing.mGroups.push_back(group.mRules);
    }
  }
  return routing;
}

TableContent
ContentOf(const Context& aContext, Table aTable)
{
  TableContent content;
  switch (aTable) {
    case Table::Operator:
      if (aContext.mState.mCatalogue.mRoutingVersion != 0) {
        content.mRouting = RoutingInForce(aContext);
      }
      break;
    case Table::Servers:
      for (const auto& [id, backend] : aContext.mState.mBackends) {
        if (!backend.mMissingSince) {
          content.mServers.push_back(backend.mEntry);
        }
      }
      break;
    case Table::Fleet:
      for (const auto& [name, host] : aContext.mState.mCatalogue.mHosts) {
        content.mHosts.push_back(host);
      }
      break;
  }
  return content;
}

/// Whether the rows have changed since a version that another host has. Rows
/// of an earlier era may differ from these although these have not changed.
bool
HasNewerContent(const TableProgress& aProgress, StoreVersion aVersion)
{
  return aProgress.mContentVersion > aVersion ||
         EraOf(aProgress.mVersion) > EraOf(aVersion);
}

/// The rows as a read of the whole table would have brought them.
TableAnswer
AsAnswer(const TableReport& aNews)
{
  TableAnswer answer;
  answer.mTable = aNews.mTable;
  answer.mOutcome = CallOutcome::Ok;
  answer.mIsSnapshot = true;
  answer.mVersion = aNews.mVersion;
  answer.mRouting = aNews.mContent->mRouting;
  for (const ServerEntry& server : aNews.mContent->mServers) {
    answer.mServers.push_back({ server.mName, server });
  }
  for (const HostEntry& host : aNews.mContent->mHosts) {
    answer.mHosts.push_back({ host.mName, host });
  }
  return answer;
}

void
ApplyTableReport(Context& aContext, const TableReport& aNews, Instant aSentAt)
{
  if (static_cast<std::size_t>(aNews.mTable) >= kTableCount) {
    return;
  }
  const TableProgress& progress = ProgressOf(aContext, aNews.mTable);
  const bool isNewer = !progress.mKnown || aNews.mVersion > progress.mVersion;
  const bool appliesRows = aNews.mContent && isNewer;
  // Without rows, a version of another era does not confirm this host's rows.
  const bool confirmsRows = progress.mKnown &&
                            aNews.mVersion >= progress.mVersion &&
                            EraOf(aNews.mVersion) == EraOf(progress.mVersion);
  if (!appliesRows && !confirmsRows) {
    return;
  }
  NoteConfirmed(aContext,
                aNews.mTable,
                aNews.mVersion,
                aSentAt - std::max(aNews.mAge, Duration{ 0 }));
  if (appliesRows) {
    ApplyRows(aContext, AsAnswer(aNews));
  }
}

}

std::vector<TableReport>
MakeTableReports(const Context& aContext, const PeerQuery& aQuery)
{
  std::vector<TableReport> tables;
  for (std::size_t n = 0; n < kTableCount; ++n) {
    const Table table = static_cast<Table>(n);
    const TableProgress& progress = aContext.mState.mCatalogue.mTables.at(n);
    if (!progress.mKnown) {
      continue;
    }
    TableReport news;
    news.mTable = table;
    news.mVersion = progress.mVersion;
    news.mAge = aContext.mNow - progress.mConfirmedAt;
    if (HasNewerContent(progress, aQuery.mVersions.at(n))) {
      news.mContent = ContentOf(aContext, table);
    }
    tables.push_back(std::move(news));
  }
  return tables;
}

bool
HasTableChanges(const Context& aContext, const PeerQuery& aQuery)
{
  for (std::size_t n = 0; n < kTableCount; ++n) {
    const TableProgress& progress = aContext.mState.mCatalogue.mTables.at(n);
    if (progress.mKnown && HasNewerContent(progress, aQuery.mVersions.at(n))) {
      return true;
    }
  }
  return false;
}

void
ApplyTableReports(Context& aContext, const PeerReport& aReport, Instant aSentAt)
{
  for (const TableReport& news : aReport.mTables) {
    ApplyTableReport(aContext, news, aSentAt);
  }
  RemoveMissingServers(aContext);
  UpdateReadiness(aContext);
}

}
