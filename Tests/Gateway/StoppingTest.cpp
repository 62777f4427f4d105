#include <catch2/catch.hpp>

#include "GatewayDriver.h"

using namespace camphorstep;
using namespace camphorstep::gateway;
using namespace std::chrono_literals;

TEST_CASE("A stop closes idle sessions and lets transactions end",
          "[GatewayStop]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Run(1s);
  driver.OpenSession(2, "main");
  driver.Send(2, StatementKind::Begin);
  driver.Send(2, StatementKind::Write);
  const auto begin = driver.NextStatement();
  driver.Reply(*begin, ResultCode::Ok, TransactionState::Open);
  driver.Reply(*driver.NextStatement(), ResultCode::Ok, TransactionState::Open);
  while (driver.Answer()) {
  }
  driver.Deliver(StopRequested{});
  CHECK_FALSE(driver.Take<SetReady>()->mReady);
  CHECK(driver.Take<CloseSession>()->mSession == SessionId{ 1 });
  CHECK_FALSE(driver.Take<CloseSession>());
  driver.Run(1s);
  driver.Send(2, StatementKind::Commit);
  driver.Reply(*driver.NextStatement());
  CHECK(driver.Answer()->mCode == ResultCode::Ok);
  CHECK(driver.Take<CloseSession>()->mSession == SessionId{ 2 });
  driver.Run(3s);
  CHECK(driver.Take<StopComplete>());
}

TEST_CASE("A stop ends in time although a transaction stays open",
          "[GatewayStop]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Begin);
  driver.Deliver(StopRequested{});
  driver.Run(2900ms);
  // More than half of the grace time is left to open transactions.
  CHECK_FALSE(driver.Take<CloseSession>());
  driver.Run(3s);
  CHECK(driver.Take<CloseSession>());
  CHECK(driver.Take<StopComplete>());
}

TEST_CASE("A stop waits for the statement after a session value was set",
          "[GatewayStop]")
{
  GatewayDriver driver;
  driver.Deliver(StopRequested{});
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::SetValue, "zone", "UTC");
  driver.Run(100ms);
  CHECK_FALSE(driver.Take<CloseSession>());
  driver.Send(1, StatementKind::Read);
  driver.Reply(*driver.NextStatement());
  CHECK(driver.Take<CloseSession>());
  driver.OpenSession(2, "main");
  driver.Run(400ms);
  CHECK(driver.Take<CloseSession>());
}

TEST_CASE(
  "New sessions during a stop are served until the notice time has passed",
  "[GatewayStop]")
{
  GatewayDriver driver;
  driver.Deliver(StopRequested{});
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Read);
  driver.Reply(*driver.NextStatement());
  CHECK(driver.Answer()->mCode == ResultCode::Ok);
  CHECK(driver.Take<CloseSession>());
  driver.Run(3s);
  driver.Deliver(SessionOpened{ SessionId{ 2 }, "main" });
  CHECK(driver.Take<RefuseSession>()->mCode == ResultCode::Stopping);
}

TEST_CASE("Servers whose entries are missing are kept for the grace time",
          "[Servers]")
{
  GatewayDriver driver;
  driver.Run(1s);
  const auto answer = [&driver](CallOutcome aOutcome, bool aDrop) {
    TableAnswer table;
    table.mCall = driver.mState.mCatalogue.mTables[1].mCall;
    table.mTable = Table::Servers;
    table.mOutcome = aOutcome;
    table.mVersion = ++driver.mStoreVersion;
    if (aDrop) {
      table.mServers.push_back({ "s3", std::nullopt });
    }
    driver.Deliver(table);
  };
  answer(CallOutcome::Ok, true);
  driver.Run(1s);
  // The store is unavailable, so the server cannot write its entry again; this
  // time must not count.
  for (int n = 0; n < 8; ++n) {
    answer(CallOutcome::Unknown, false);
    driver.Run(1s);
  }
  answer(CallOutcome::Ok, false);
  driver.Run(1s);
  CHECK(driver.mState.mBackends.contains(IdOf<ServerId>("s3")));
  for (int n = 0; n < 3; ++n) {
    answer(CallOutcome::Ok, false);
    driver.Run(1s);
  }
  CHECK_FALSE(driver.mState.mBackends.contains(IdOf<ServerId>("s3")));
}
