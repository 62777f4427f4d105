#include <catch2/catch.hpp>

#include "GatewayDriver.h"

using namespace camphorstep;
using namespace camphorstep::gateway;
using namespace std::chrono_literals;

TEST_CASE("A session for a name without a route is refused", "[Session]")
{
  GatewayDriver driver;
  driver.Deliver(SessionOpened{ SessionId{ 1 }, "nowhere" });
  const auto refusal = driver.Take<RefuseSession>();
  REQUIRE(refusal);
  CHECK(refusal->mCode == ResultCode::UnknownDatabase);
}

TEST_CASE("Session values reach the server before the statement", "[Session]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::SetValue, "zone", "UTC");
  REQUIRE(driver.Answer());
  driver.Send(1, StatementKind::Read);
  const auto set = driver.Take<SendOnLink>();
  REQUIRE(set);
  CHECK(set->mRequest.mVerb == BackendVerb::SetValue);
  CHECK(set->mRequest.mName == "zone");
  const auto read = driver.Take<SendOnLink>();
  REQUIRE(read);
  CHECK(read->mRequest.mVerb == BackendVerb::Run);
  CHECK(read->mRequest.mId == "id1");
  CHECK(read->mLink == set->mLink);
}

TEST_CASE("A connection with another session's values is reset", "[Session]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::SetValue, "zone", "UTC");
  driver.Send(1, StatementKind::Read);
  driver.Reply(*driver.NextStatement());
  driver.OpenSession(2, "main");
  driver.Send(2, StatementKind::Read);
  const auto reset = driver.Take<SendOnLink>();
  REQUIRE(reset);
  CHECK(reset->mRequest.mVerb == BackendVerb::Reset);
}

TEST_CASE("Prepared statements of the same name are kept apart by caller",
          "[Session]")
{
  GatewayDriver driver;
  std::vector<std::string> names;
  for (const std::uint64_t id : { 1, 2 }) {
    driver.OpenSession(id, "main");
    driver.Send(id, StatementKind::Prepare, "p", "shape" + std::to_string(id));
    driver.Send(id, StatementKind::Execute, "p", "item");
    const auto execute = driver.NextStatement();
    REQUIRE(execute);
    CHECK(execute->mRequest.mVerb == BackendVerb::Execute);
    names.push_back(execute->mRequest.mName);
    driver.Reply(*execute);
  }
  CHECK(names[0] != names[1]);
}

TEST_CASE("A connection is closed when its server refuses a session value",
          "[Session]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::SetValue, "zone", "UTC");
  driver.Send(1, StatementKind::Read);
  const auto set = driver.Take<SendOnLink>();
  REQUIRE(set);
  BackendReply refusal;
  refusal.mCode = ResultCode::MalformedRequest;
  driver.Deliver(LinkReplied{ set->mLink, refusal });
  CHECK(driver.Take<CloseLink>()->mLink == set->mLink);
}

TEST_CASE("Statements of a transaction stay on one connection", "[Session]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Begin);
  CHECK(driver.Answer());
  driver.Send(1, StatementKind::Read);
  while (driver.Answer()) {
  }
  const auto begin = driver.NextStatement();
  REQUIRE(begin);
  REQUIRE(begin->mRequest.mVerb == BackendVerb::Begin);
  // The statement must not be sent before the transaction is open.
  CHECK_FALSE(driver.NextStatement());
  driver.Reply(*begin, ResultCode::Ok, TransactionState::Open);
  const auto read = driver.NextStatement();
  REQUIRE(read);
  CHECK(read->mLink == begin->mLink);
  driver.Reply(*read, ResultCode::Ok, TransactionState::Open);
  CHECK(driver.Answer()->mState == TransactionState::Open);
  driver.OpenSession(2, "main");
  driver.Send(2, StatementKind::Read);
  const auto other = driver.NextStatement();
  REQUIRE(other);
  CHECK(other->mLink != begin->mLink);
  driver.Send(1, StatementKind::Commit);
  const auto commit = driver.NextStatement();
  REQUIRE(commit);
  CHECK(commit->mLink == begin->mLink);
  CHECK(commit->mRequest.mId == "id1");
}

TEST_CASE("A write whose answer is lost has an unknown outcome", "[Session]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Write);
  const auto write = driver.NextStatement();
  REQUIRE(write);
  driver.BreakLink(write->mLink);
  const auto answer = driver.Answer();
  REQUIRE(answer);
  CHECK(answer->mCode == ResultCode::ConnectionLost);
  driver.Run(500ms);
  CHECK_FALSE(driver.NextStatement());
}

TEST_CASE("A commit of writes whose answer is lost has an unknown outcome",
          "[Session]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Begin);
  driver.Send(1, StatementKind::Write);
  const auto begin = driver.NextStatement();
  driver.Reply(*begin, ResultCode::Ok, TransactionState::Open);
  driver.Reply(*driver.NextStatement(), ResultCode::Ok, TransactionState::Open);
  driver.Send(1, StatementKind::Commit);
  while (driver.Answer()) {
  }
  const auto commit = driver.NextStatement();
  REQUIRE(commit);
  driver.BreakLink(commit->mLink);
  CHECK(driver.Answer()->mCode == ResultCode::ConnectionLost);
}

TEST_CASE("A read whose connection is lost is sent again", "[Session]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Read);
  const auto read = driver.NextStatement();
  REQUIRE(read);
  driver.BreakLink(read->mLink);
  driver.Run(50ms);
  const auto again = driver.NextStatement();
  REQUIRE(again);
  CHECK(again->mRequest.mId == "id1");
  CHECK(again->mLink != read->mLink);
}

TEST_CASE("A transaction that loses its connection is aborted", "[Session]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Begin);
  driver.Send(1, StatementKind::Write);
  const auto begin = driver.NextStatement();
  driver.Reply(*begin, ResultCode::Ok, TransactionState::Open);
  driver.Reply(*driver.NextStatement(), ResultCode::Ok, TransactionState::Open);
  while (driver.Answer()) {
  }
  driver.BreakLink(begin->mLink);
  driver.Send(1, StatementKind::Commit);
  const auto answer = driver.Answer();
  REQUIRE(answer);
  CHECK(answer->mCode == ResultCode::TransactionAborted);
  CHECK(answer->mState == TransactionState::None);
  CHECK_FALSE(driver.NextStatement());
}

TEST_CASE("An idle transaction is rolled back and reported as failed",
          "[Session]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Begin);
  driver.Send(1, StatementKind::Write);
  const auto begin = driver.NextStatement();
  driver.Reply(*begin, ResultCode::Ok, TransactionState::Open);
  driver.Reply(*driver.NextStatement(), ResultCode::Ok, TransactionState::Open);
  while (driver.Answer()) {
  }
  driver.Run(2100ms);
  const auto rollback = driver.Take<SendOnLink>();
  REQUIRE(rollback);
  CHECK(rollback->mRequest.mVerb == BackendVerb::Rollback);
  CHECK(rollback->mLink == begin->mLink);
  driver.Send(1, StatementKind::Write);
  const auto answer = driver.Answer();
  CHECK(answer->mCode == ResultCode::TransactionAborted);
  CHECK(answer->mState == TransactionState::Failed);
}

TEST_CASE("A transaction is rolled back when its caller disconnects",
          "[Session]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Begin);
  driver.Send(1, StatementKind::Write);
  const auto begin = driver.NextStatement();
  driver.Reply(*begin, ResultCode::Ok, TransactionState::Open);
  driver.Deliver(SessionEnded{ SessionId{ 1 } });
  // The write is still running, so the transaction can only be ended by closing
  // the connection.
  CHECK(driver.Take<CloseLink>()->mLink == begin->mLink);
}

TEST_CASE("A statement that the server does not answer ends at its deadline",
          "[Session]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Write);
  const auto write = driver.NextStatement();
  REQUIRE(write);
  driver.Run(900ms);
  CHECK_FALSE(driver.Answer());
  driver.Run(200ms);
  // The write may have been executed, so its outcome is unknown.
  CHECK(driver.Answer()->mCode == ResultCode::ConnectionLost);
}

TEST_CASE("A statement that a busy server refused is sent again", "[Session]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Write);
  driver.Reply(*driver.NextStatement(), ResultCode::Overloaded);
  driver.Run(50ms);
  const auto again = driver.NextStatement();
  REQUIRE(again);
  driver.Reply(*again);
  CHECK(driver.Answer()->mCode == ResultCode::Ok);
}

TEST_CASE("An older configuration does not replace a newer one", "[Session]")
{
  GatewayDriver driver;
  driver.Publish(5);
  driver.Publish(4);
  CHECK(driver.mState.mCatalogue.mRoutingVersion == 5);
}

TEST_CASE("A write of a term that has ended is not acknowledged", "[Session]")
{
  GatewayDriver driver;
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Write);
  const auto write = driver.NextStatement();
  REQUIRE(write);
  // Another server is promoted before the reply arrives.
  driver.Server("s2").mPrimary = true;
  driver.Server("s2").mTerm = 2;
  driver.Run(500ms);
  driver.Reply(*write);
  const auto answer = driver.Answer();
  REQUIRE(answer);
  CHECK(answer->mCode == ResultCode::ConnectionLost);
}
