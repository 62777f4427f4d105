#include <catch2/catch.hpp>

#include "Gateway/Tuning.h"
#include "GatewayDriver.h"
#include "Group/Copies.h"
#include "Promotions.h"

using namespace camphorstep;
using namespace camphorstep::gateway;
using namespace std::chrono_literals;

namespace {

/// Longer than two of the lease's writes are apart.
constexpr Duration kUntilRecorded = 2s;

DataCopy
CopyOn(const std::string& aServer, const std::string& aIp)
{
  return { aServer, { aIp, 5000 }, 1 };
}

/// Lists a further server, or delists one.
void
ChangeListing(GatewayDriver& aDriver, const std::string& aName, bool aIsListed)
{
  TableProgress& table = aDriver.mState.mCatalogue.mTables.at(1);
  table.mCall = gateway::CallId{ ++aDriver.mState.mLastId };
  TableAnswer answer;
  answer.mCall = table.mCall;
  answer.mTable = Table::Servers;
  answer.mOutcome = CallOutcome::Ok;
  answer.mVersion = ++aDriver.mStoreVersion;
  answer.mServers.push_back({ aName, std::nullopt });
  if (aIsListed) {
    answer.mServers.back().mEntry = ServerEntry{
      aName, "group", { "10.0.1.9", 5000 }, "a", 5, false, false, 1
    };
  }
  aDriver.Deliver(answer);
}

void
AddServer(GatewayDriver& aDriver, const std::string& aName)
{
  aDriver.mServers.emplace_back().mName = aName;
  ChangeListing(aDriver, aName, true);
  aDriver.Run(1s);
}

void
RemoveServer(GatewayDriver& aDriver, const std::string& aName)
{
  aDriver.Server(aName).mDown = true;
  ChangeListing(aDriver, aName, false);
  aDriver.Run(kMissingEntryGrace + 100ms);
  // An answer without changes of this server.
  ChangeListing(aDriver, "unknown", false);
}

const Group&
GroupOf(const GatewayDriver& aDriver)
{
  return aDriver.mState.mGroups.begin()->second;
}

/// Has the promoter take the lease anew, after another one has written lists.
void
RetakeLease(GatewayDriver& aDriver, const std::vector<DataCopy>& aStored)
{
  aDriver.mStoredRecords = { { "group", aStored } };
  PromoterState& promoter = aDriver.mState.mPromoter;
  promoter.mHeldUntil = Instant{};
  promoter.mLease.mHolder = "";
  promoter.mLease.mToken += 5;
  // The driver has dropped the call that was underway.
  aDriver.mState.mCatalogue.mTables.at(2).mCall = gateway::CallId{};
  aDriver.Run(1s);
  REQUIRE(promoter.mHasReadRecords);
}

}

TEST_CASE("The promoter records which servers hold copies", "[Copies]")
{
  // Guards against a count of copies that only one process knows.
  GatewayDriver driver;
  REQUIRE(driver.mStoredRecords.size() == 1);
  CHECK(driver.mStoredRecords[0].mGroup == "group");
  CHECK(driver.mStoredRecords[0].mCopies ==
        std::vector<DataCopy>{ CopyOn("s1", "10.0.1.1"),
                               CopyOn("s2", "10.0.1.2"),
                               CopyOn("s3", "10.0.1.3") });
  AddServer(driver, "s4");
  CHECK(driver.mStoredRecords[0].mCopies.size() == 4);
}

TEST_CASE("A new promoter keeps writes that a former server acknowledged",
          "[Copies]")
{
  // Guards against the loss of writes that only the primary has, since the
  // server that acknowledged them is gone.
  GatewayDriver driver;
  driver.Server("s1").mIndex = 110;
  RetakeLease(driver,
              { CopyOn("s1", "10.0.1.1"),
                CopyOn("s2", "10.0.1.2"),
                CopyOn("s3", "10.0.1.3"),
                CopyOn("s9", "10.0.1.9") });
  CHECK(CountCopies(GroupOf(driver)) == 4);
  SECTION("by promoting the old primary when it can be reached")
  {
    const auto promotion = RunUntilPromotion(driver, 5s);
    REQUIRE(promotion);
    CHECK(promotion->mServer == "s1");
  }
  SECTION("by promoting no replica when it cannot")
  {
    driver.Server("s1").mDown = true;
    CHECK_FALSE(RunUntilPromotion(driver, 8s));
  }
}

TEST_CASE("A former server does not count once a replica has its writes",
          "[Copies]")
{
  // Guards against a group that has no takeover after a server was replaced.
  GatewayDriver driver;
  AddServer(driver, "s4");
  RemoveServer(driver, "s4");
  driver.Run(kUntilRecorded);
  CHECK(CountCopies(GroupOf(driver)) == 3);
  CHECK(driver.mStoredRecords[0].mCopies.size() == 3);
  driver.Server("s1").mDown = true;
  CHECK(RunUntilPromotion(driver, 4s));
}

TEST_CASE("A primary that is lost soon after a former server is replaced",
          "[Copies]")
{
  // Guards against a group that waits for both of them.
  GatewayDriver driver;
  AddServer(driver, "s4");
  driver.Server("s4").mDown = true;
  ChangeListing(driver, "s4", false);
  driver.Run(1s);
  driver.Server("s1").mDown = true;
  driver.Run(kMissingEntryGrace);
  ChangeListing(driver, "unknown", false);
  CHECK(RunUntilPromotion(driver, 4s));
}

TEST_CASE("A former server counts while no replica has its writes", "[Copies]")
{
  // Guards against trusting a replica that lags behind the primary.
  GatewayDriver driver;
  AddServer(driver, "s4");
  driver.Server("s1").mIndex = 110;
  RemoveServer(driver, "s4");
  driver.Run(kUntilRecorded);
  CHECK(CountCopies(GroupOf(driver)) == 4);
  CHECK(driver.mStoredRecords[0].mCopies.size() == 4);
}

TEST_CASE("A server that answers without being listed counts", "[Copies]")
{
  // Guards against promoting a replica while a server that cannot reach the
  // store acknowledges writes.
  GatewayDriver driver;
  AddServer(driver, "s4");
  ChangeListing(driver, "s4", false);
  driver.Run(kMissingEntryGrace + 100ms);
  ChangeListing(driver, "unknown", false);
  driver.Run(kUntilRecorded);
  CHECK(GroupOf(driver).mServers.size() == 3);
  CHECK(CountCopies(GroupOf(driver)) == 4);
  ChangeListing(driver, "s4", true);
  CHECK(CountCopies(GroupOf(driver)) == 4);
  CHECK(GroupOf(driver).mFormerCopies.empty());
}

TEST_CASE("A former server counts until the store has the shorter list",
          "[Copies]")
{
  // Guards against two promoters that require different numbers of copies.
  GatewayDriver driver;
  AddServer(driver, "s4");
  RemoveServer(driver, "s4");
  std::optional<WriteLease> write;
  for (int n = 0; n < 800 && (!write || write->mRecords.empty()); ++n) {
    driver.OpenLinks();
    driver.AnswerControl();
    driver.AdvanceTime(10ms);
    if (auto next = driver.Take<WriteLease>()) {
      write = next;
      if (write->mRecords.empty()) {
        driver.Deliver(StoreWritten{
          write->mCall, CallOutcome::Ok, ++driver.mStoreVersion });
      }
    }
  }
  REQUIRE(write);
  REQUIRE(write->mRecords.size() == 1);
  CHECK(write->mRecords[0].mCopies.size() == 3);
  CHECK(CountCopies(GroupOf(driver)) == 4);
  driver.Deliver(
    StoreWritten{ write->mCall, CallOutcome::Ok, ++driver.mStoreVersion });
  CHECK(CountCopies(GroupOf(driver)) == 3);
}

TEST_CASE("A promoter replaces no primary before it has read the copies",
          "[Copies]")
{
  // Guards against a takeover that counts the listed servers alone.
  GatewayDriver driver;
  driver.mState.mPromoter.mHasReadRecords = false;
  driver.Server("s1").mDown = true;
  CHECK_FALSE(RunUntilPromotion(driver, 5s));
}

TEST_CASE("A server that returns to the list is no former one", "[Copies]")
{
  GatewayDriver driver;
  driver.Server("s1").mIndex = 110;
  RetakeLease(driver,
              { CopyOn("s1", "10.0.1.1"),
                CopyOn("s2", "10.0.1.2"),
                CopyOn("s3", "10.0.1.3"),
                CopyOn("s9", "10.0.1.9") });
  REQUIRE(CountCopies(GroupOf(driver)) == 4);
  SECTION("under its name")
  {
    AddServer(driver, "s9");
  }
  SECTION("under another name at its address, where it has the same log")
  {
    TableProgress& table = driver.mState.mCatalogue.mTables.at(1);
    table.mCall = gateway::CallId{ ++driver.mState.mLastId };
    driver.mServers.emplace_back().mName = "s10";
    TableAnswer answer;
    answer.mCall = table.mCall;
    answer.mTable = Table::Servers;
    answer.mOutcome = CallOutcome::Ok;
    answer.mVersion = ++driver.mStoreVersion;
    answer.mServers.push_back(
      { "s10",
        ServerEntry{
          "s10", "group", { "10.0.1.9", 5000 }, "a", 5, false, false, 2 } });
    driver.Deliver(answer);
  }
  CHECK(CountCopies(GroupOf(driver)) == 4);
  CHECK(GroupOf(driver).mFormerCopies.empty());
}
