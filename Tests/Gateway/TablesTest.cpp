#include <catch2/catch.hpp>

#include "Follower.h"

using namespace camphorstep;
using namespace camphorstep::gateway;

namespace {

std::size_t
CountPolls(GatewayDriver& aDriver)
{
  std::size_t n = 0;
  while (aDriver.Take<WatchTable>()) {
    ++n;
  }
  return n;
}

TableProgress&
TableOf(GatewayDriver& aDriver, Table aTable)
{
  return aDriver.mState.mCatalogue.mTables.at(static_cast<std::size_t>(aTable));
}

/// Answers all pending table calls with an outcome and without changes.
void
AnswerPolls(GatewayDriver& aDriver, CallOutcome aOutcome)
{
  for (std::size_t n = 0; n < kTableCount; ++n) {
    const TableProgress& table = aDriver.mState.mCatalogue.mTables.at(n);
    if (table.mCall) {
      TableAnswer answer;
      answer.mCall = table.mCall;
      answer.mTable = static_cast<Table>(n);
      answer.mOutcome = aOutcome;
      answer.mVersion = table.mVersion;
      aDriver.Deliver(answer);
    }
  }
}

/// Has the next call for a table made now.
void
RequestPoll(GatewayDriver& aDriver, Table aTable)
{
  TableProgress& table = TableOf(aDriver, aTable);
  table.mCall = gateway::CallId{ ++aDriver.mState.mLastId };
  table.mCalledAt = aDriver.mNow;
}

/// Returns an answer as one to a call for its table that is underway.
TableAnswer
AnswerTo(GatewayDriver& aDriver, TableAnswer aAnswer)
{
  TableProgress& table = TableOf(aDriver, aAnswer.mTable);
  table.mCall = gateway::CallId{ ++aDriver.mState.mLastId };
  aAnswer.mCall = table.mCall;
  aAnswer.mOutcome = CallOutcome::Ok;
  return aAnswer;
}

/// Advances time until a query is pending, and returns a report on it with a
/// newer routing table of the given routing version.
PeerReport
ReportRoutes(Follower& aDriver, std::uint64_t aVersion)
{
  while (!aDriver.mQuery) {
    aDriver.Follow(10ms);
  }
  PeerReport report = aDriver.MakeReport(*aDriver.mQuery, 50ms);
  TableReport& news = report.mTables.at(0);
  news.mVersion = ++aDriver.mStoreVersion;
  news.mContent.emplace();
  news.mContent->mRouting.emplace();
  news.mContent->mRouting->mVersion = aVersion;
  news.mContent->mRouting->mRoutes = { { "new", "group" } };
  return report;
}

}

TEST_CASE("A host with recent table reports does not poll the store",
          "[Tables]")
{
  Follower driver;
  driver.Follow(1s);
  AnswerPolls(driver, CallOutcome::Ok);
  CountPolls(driver);
  driver.Follow(5s);
  CHECK(CountPolls(driver) == 0);
  SECTION("until the source itself has no recent data")
  {
    for (int n = 0; n < 300; ++n) {
      driver.Run(10ms);
      if (const auto query = driver.Take<SendPeerQuery>()) {
        PeerReport report = driver.MakeReport(query->mQuery, 50ms);
        for (TableReport& news : report.mTables) {
          news.mAge = 10s;
        }
        driver.Deliver(report);
      }
    }
    CHECK(driver.mState.mCatalogue.mTables.at(0).mCall);
  }
  SECTION("until the source does not answer")
  {
    driver.Run(1s);
    CHECK(CountPolls(driver) >= 2);
  }
}

TEST_CASE("Hosts forward configurations to each other", "[Tables]")
{
  Follower driver;
  driver.Follow(500ms);
  driver.Deliver(ReportRoutes(driver, 7));
  CHECK(driver.mState.mCatalogue.mRoutingVersion == 7);
  CHECK(driver.mState.mCatalogue.mRoutes.contains("new"));
  SECTION("and answer queries with it")
  {
    PeerQueryReceived asked{ PeerLinkId{ 4 }, {} };
    asked.mQuery.mHost = "h3";
    asked.mQuery.mVersions.fill(1);
    driver.Deliver(asked);
    const auto answer = driver.Take<SendPeerReport>();
    REQUIRE(answer);
    REQUIRE(answer->mReport.mTables.at(0).mContent);
    CHECK(answer->mReport.mTables.at(0).mContent->mRouting->mVersion == 7);
  }
  SECTION("and an earlier one does not replace it")
  {
    driver.mQuery.reset();
    driver.Follow(100ms);
    driver.Deliver(ReportRoutes(driver, 6));
    CHECK(driver.mState.mCatalogue.mRoutingVersion == 7);
    CHECK(driver.mState.mCatalogue.mRoutes.contains("new"));
  }
}

TEST_CASE("Rows that are older than the known version are not applied",
          "[Tables]")
{
  GatewayDriver driver;
  TableProgress& table = TableOf(driver, Table::Servers);
  AnswerPolls(driver, CallOutcome::HistoryLost);
  driver.AdvanceTime(10ms);
  REQUIRE(driver.Take<ReadTable>());
  TableAnswer stale;
  stale.mCall = table.mCall;
  stale.mTable = Table::Servers;
  stale.mOutcome = CallOutcome::Ok;
  stale.mIsSnapshot = true;
  stale.mVersion = table.mVersion - 1;
  driver.Deliver(stale);
  for (const auto& [id, backend] : driver.mState.mBackends) {
    CHECK_FALSE(backend.mMissingSince);
  }
}

TEST_CASE("A table of several pages is applied when it is complete", "[Tables]")
{
  GatewayDriver driver;
  AnswerPolls(driver, CallOutcome::HistoryLost);
  driver.AdvanceTime(10ms);
  const auto page = [&driver](const std::string& aServer,
                              const std::string& aMoreFrom) {
    TableAnswer answer;
    answer.mCall = TableOf(driver, Table::Servers).mCall;
    answer.mTable = Table::Servers;
    answer.mOutcome = CallOutcome::Ok;
    answer.mIsSnapshot = true;
    answer.mVersion = ++driver.mStoreVersion;
    answer.mContinuationKey = aMoreFrom;
    ServerEntry entry;
    entry.mName = aServer;
    entry.mGroup = "group";
    answer.mServers.push_back({ aServer, entry });
    driver.Deliver(answer);
  };
  driver.mEffects.clear();
  page("s8", "s8");
  const auto next = driver.Take<ReadTable>();
  REQUIRE(next);
  CHECK(next->mFrom == "s8");
  CHECK_FALSE(driver.mState.mBackends.contains(IdOf<ServerId>("s8")));
  page("s9", "");
  CHECK(driver.mState.mBackends.contains(IdOf<ServerId>("s8")));
  CHECK(driver.mState.mBackends.contains(IdOf<ServerId>("s9")));
}

TEST_CASE("A host whose entry was removed writes it again", "[Tables]")
{
  GatewayDriver driver;
  AnswerPolls(driver, CallOutcome::HistoryLost);
  driver.AdvanceTime(10ms);
  driver.mEffects.clear();
  TableAnswer answer;
  answer.mCall = TableOf(driver, Table::Fleet).mCall;
  answer.mTable = Table::Fleet;
  answer.mOutcome = CallOutcome::Ok;
  answer.mIsSnapshot = true;
  answer.mVersion = ++driver.mStoreVersion;
  HostEntry other;
  other.mName = "h9";
  answer.mHosts.push_back({ "h9", other });
  driver.Deliver(answer);
  driver.AdvanceTime(10ms);
  CHECK(driver.Take<WriteHostEntry>());
}

TEST_CASE(
  "A server that is leaving does not return to service by an older entry",
  "[Tables]")
{
  GatewayDriver driver;
  const auto list = [&driver](bool aLeaving, std::uint64_t aStartedAt) {
    TableAnswer answer;
    answer.mTable = Table::Servers;
    answer.mVersion = ++driver.mStoreVersion;
    ServerEntry entry = driver.mState.mBackends.at(IdOf<ServerId>("s2")).mEntry;
    entry.mLeaving = aLeaving;
    entry.mStartedAt = aStartedAt;
    answer.mServers.push_back({ "s2", entry });
    driver.Deliver(AnswerTo(driver, answer));
  };
  const auto isLeaving = [&driver] {
    const Backend& backend = driver.mState.mBackends.at(IdOf<ServerId>("s2"));
    return backend.mEntry.mLeaving && backend.mLeavingSince.has_value();
  };
  list(true, 1);
  REQUIRE(isLeaving());
  list(false, 1);
  CHECK(isLeaving());
  SECTION("but when it has started again")
  {
    list(false, 2);
    CHECK_FALSE(isLeaving());
  }
}

TEST_CASE("A host whose entry the store has lost writes it again", "[Tables]")
{
  GatewayDriver driver;
  // Other hosts' entries are as they were, and this host never saw its own.
  driver.mState.mCatalogue.mHosts.clear();
  REQUIRE(driver.mState.mCatalogue.mRegistered);
  AnswerPolls(driver, CallOutcome::HistoryLost);
  driver.AdvanceTime(10ms);
  driver.mEffects.clear();
  TableAnswer answer;
  answer.mCall = TableOf(driver, Table::Fleet).mCall;
  answer.mTable = Table::Fleet;
  answer.mOutcome = CallOutcome::Ok;
  answer.mIsSnapshot = true;
  answer.mVersion = MakeStoreVersion(1, 5);
  driver.Deliver(answer);
  driver.AdvanceTime(10ms);
  CHECK(driver.Take<WriteHostEntry>());
}

TEST_CASE("A store that answers with older rows is not asked again at once",
          "[Tables]")
{
  GatewayDriver driver;
  std::size_t calls = 0;
  for (int n = 0; n < 100; ++n) {
    const TableProgress& table = TableOf(driver, Table::Operator);
    if (table.mCall) {
      ++calls;
      TableAnswer stale;
      stale.mCall = table.mCall;
      stale.mTable = Table::Operator;
      stale.mOutcome = CallOutcome::Ok;
      stale.mIsSnapshot = true;
      stale.mVersion = table.mVersion - 1;
      driver.Deliver(stale);
    }
    driver.AdvanceTime(10ms);
  }
  CHECK(calls <= 5);
}

TEST_CASE("A host whose rows are of an earlier era is sent all rows",
          "[Tables]")
{
  Follower driver;
  driver.Follow(1s);
  TableProgress& table = TableOf(driver, Table::Fleet);
  // The store returned from an older copy that has the same rows as this host.
  table.mVersion = MakeStoreVersion(1, 5);
  table.mContentVersion = 4;
  PeerQueryReceived asked{ PeerLinkId{ 4 }, {} };
  asked.mQuery.mHost = "h3";
  asked.mQuery.mMaxWait = 300ms;
  for (std::size_t n = 0; n < kTableCount; ++n) {
    asked.mQuery.mVersions.at(n) =
      driver.mState.mCatalogue.mTables.at(n).mVersion;
  }
  // Its row of version 8 is lost.
  asked.mQuery.mVersions.at(static_cast<std::size_t>(Table::Fleet)) = 9;
  driver.Deliver(asked);
  const auto answer = driver.Take<SendPeerReport>();
  REQUIRE(answer);
  CHECK(answer->mReport.mTables.at(2).mContent);
}

TEST_CASE("A report without rows does not confirm rows of an earlier era",
          "[Tables]")
{
  Follower driver;
  driver.Follow(1s);
  const TableProgress before = TableOf(driver, Table::Operator);
  while (!driver.mQuery) {
    driver.Follow(10ms);
  }
  PeerReport report = driver.MakeReport(*driver.mQuery, 50ms);
  report.mTables.at(0).mVersion = MakeStoreVersion(1, before.mVersion);
  driver.Deliver(report);
  CHECK(TableOf(driver, Table::Operator).mVersion == before.mVersion);
  CHECK(TableOf(driver, Table::Operator).mConfirmedAt == before.mConfirmedAt);
}

TEST_CASE("An older entry does not undo a server's restart", "[Tables]")
{
  GatewayDriver driver;
  const ServerId id = IdOf<ServerId>("s2");
  const ServerEntry original = driver.mState.mBackends.at(id).mEntry;
  const auto list = [&](bool aLeaving, std::uint64_t aStartedAt) {
    ServerEntry entry = original;
    entry.mLeaving = aLeaving;
    entry.mStartedAt = aStartedAt;
    TableAnswer answer;
    answer.mTable = Table::Servers;
    answer.mVersion = ++driver.mStoreVersion;
    answer.mServers.push_back({ "s2", entry });
    driver.Deliver(AnswerTo(driver, answer));
  };
  list(false, 2);
  list(true, 2);
  driver.Settle();
  const std::size_t links = driver.mState.mLinks.size();
  list(false, 1);
  const Backend& backend = driver.mState.mBackends.at(id);
  CHECK(backend.mEntry.mStartedAt == 2);
  CHECK(backend.mEntry.mLeaving);
  CHECK(backend.mLeavingSince);
  CHECK(driver.mState.mLinks.size() == links);
  SECTION("when the server writes its entry again")
  {
    list(true, 2);
    driver.Run(kMissingEntryGrace + 1s);
    CHECK(driver.mState.mBackends.at(id).mEntry.mLeaving);
  }
  SECTION("unless no later one comes")
  {
    driver.Run(kMissingEntryGrace + 1s);
    TableAnswer nothingNew;
    nothingNew.mTable = Table::Servers;
    nothingNew.mVersion = driver.mStoreVersion;
    driver.Deliver(AnswerTo(driver, nothingNew));
    REQUIRE_FALSE(driver.mState.mBackends.contains(id));
    std::optional<ReadTable> read;
    do {
      read = driver.Take<ReadTable>();
    } while (read && read->mTable != Table::Servers);
    CHECK(read);
    list(false, 1);
    REQUIRE(driver.mState.mBackends.contains(id));
    CHECK(driver.mState.mBackends.at(id).mEntry.mStartedAt == 1);
    CHECK_FALSE(driver.mState.mBackends.at(id).mEntry.mLeaving);
  }
}

TEST_CASE("A store that fails counts as failing until it has answered a host",
          "[Tables]")
{
  Follower driver;
  driver.Follow(1s);
  const auto deliverReport = [&driver](Duration aAge) {
    while (!driver.mQuery) {
      driver.Follow(10ms);
    }
    PeerReport report = driver.MakeReport(*driver.mQuery, 50ms);
    driver.mQuery.reset();
    for (TableReport& table : report.mTables) {
      table.mAge = aAge;
    }
    driver.Deliver(report);
  };
  AnswerPolls(driver, CallOutcome::Ok);
  driver.Run(100ms);
  TableProgress& table = TableOf(driver, Table::Operator);
  RequestPoll(driver, Table::Operator);
  AnswerPolls(driver, CallOutcome::Unknown);
  REQUIRE(table.mFailures == 1);
  deliverReport(2s);
  CHECK(table.mFailures == 1);
  deliverReport(Duration{ 0 });
  CHECK(table.mFailures == 0);
}
