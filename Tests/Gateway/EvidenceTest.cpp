#include <catch2/catch.hpp>

#include "Follower.h"
#include "Gateway/Tuning.h"

using namespace camphorstep;
using namespace camphorstep::gateway;

namespace {

/// Whether the primary of the group is given a statement.
bool
IsPrimaryUsed(Follower& aDriver, std::uint64_t aSession)
{
  aDriver.OpenSession(aSession, "main");
  aDriver.Send(aSession, StatementKind::Write);
  return aDriver.NextStatement().has_value();
}

/// Has the store list a server.
void
ListServer(Follower& aDriver, const ServerEntry& aEntry)
{
  TableProgress& table = aDriver.mState.mCatalogue.mTables.at(1);
  table.mCall = gateway::CallId{ ++aDriver.mState.mLastId };
  TableAnswer answer;
  answer.mCall = table.mCall;
  answer.mTable = Table::Servers;
  answer.mOutcome = CallOutcome::Ok;
  answer.mVersion = ++aDriver.mStoreVersion;
  answer.mServers.push_back({ aEntry.mName, aEntry });
  aDriver.Deliver(answer);
}

void
SetPaused(Follower& aDriver, Term aPauseTerm)
{
  aDriver.Server("s2").mPauseTerm = aPauseTerm;
  aDriver.Server("s3").mPauseTerm = aPauseTerm;
}

/// Has the process forget all evidence and what it knew of retired terms, and
/// the store answer nothing more of them.
void
ForgetEvidence(Follower& aDriver)
{
  aDriver.mState.mGroups.begin()->second.mProvedTerm = 0;
  aDriver.mState.mCatalogue.mRetiredTerms.mConfirmedAt = Instant{};
  aDriver.mState.mCatalogue.mTables.at(2).mCall = gateway::CallId{ 1 };
}

}

TEST_CASE("Evidence begins only when the orders to promote are known",
          "[Evidence]")
{
  // Guards against writes through a replica whose pause a restart has ended, on
  // a host that has just started while the platform carries out a promotion
  // (LOST).
  Follower driver;
  driver.Follow(1s);
  ForgetEvidence(driver);
  driver.Follow(2 * kEvidenceProbation);
  CHECK_FALSE(IsPrimaryUsed(driver, 1));
  driver.mRetiredTerms = RetiredTermsReport{ 1, 0s, {} };
  SECTION("and none has been given")
  {
    driver.Follow(500ms);
    CHECK(IsPrimaryUsed(driver, 2));
  }
  SECTION("not while they were confirmed before the statuses were requested")
  {
    driver.mRetiredTerms->mAge = kEvidenceTimeout;
    driver.Follow(2 * kEvidenceProbation);
    CHECK_FALSE(IsPrimaryUsed(driver, 2));
  }
  SECTION("not in a term that is retired")
  {
    driver.mRetiredTerms->mTerms = { { "group", 1 } };
    driver.Follow(2 * kEvidenceProbation);
    CHECK_FALSE(IsPrimaryUsed(driver, 2));
  }
}

TEST_CASE("Evidence without a gap goes on while the store is away",
          "[Evidence]")
{
  Follower driver;
  driver.Follow(1s);
  driver.mState.mCatalogue.mTables.at(2).mCall = gateway::CallId{ 1 };
  driver.Follow(10s);
  CHECK(IsPrimaryUsed(driver, 1));
}

TEST_CASE("A replica that was paused is no evidence until it has a new term",
          "[Evidence]")
{
  // Guards against writes through a replica whose pause a restart has ended
  // after the promoter's last look at it.
  Follower driver;
  driver.Follow(1s);
  SetPaused(driver, 9);
  driver.Follow(kEvidenceTimeout + 500ms);
  SetPaused(driver, 0);
  SECTION("while a promotion may be underway")
  {
    driver.Follow(1s);
    CHECK_FALSE(IsPrimaryUsed(driver, 1));
    driver.Follow(kEvidenceProbation);
    CHECK(IsPrimaryUsed(driver, 2));
  }
  SECTION("which it has at once if a server was promoted")
  {
    for (const char* const name : { "s2", "s3" }) {
      driver.Server(name).mTerm = 2;
    }
    driver.Server("s2").mPrimary = true;
    driver.Follow(1s);
    CHECK(IsPrimaryUsed(driver, 1));
  }
}

TEST_CASE("A commit is not acknowledged without evidence for the primary",
          "[Evidence]")
{
  // Guards against acknowledgements that came through a server that no
  // promoter knew, after the replicas had been paused.
  Follower driver;
  driver.Follow(1s);
  driver.OpenSession(1, "main");
  driver.Send(1, StatementKind::Begin);
  REQUIRE(driver.Answer());
  driver.Send(1, StatementKind::Write);
  const auto begin = driver.NextStatement();
  REQUIRE(begin);
  driver.Reply(*begin, ResultCode::Ok, TransactionState::Open);
  const auto write = driver.NextStatement();
  REQUIRE(write);
  driver.Reply(*write, ResultCode::Ok, TransactionState::Open);
  REQUIRE(driver.Answer());
  SetPaused(driver, 9);
  driver.Follow(kEvidenceTimeout + 300ms);
  driver.Send(1, StatementKind::Commit);
  const auto commit = driver.NextStatement();
  REQUIRE(commit);
  driver.Reply(*commit);
  const auto answer = driver.Answer();
  REQUIRE(answer);
  CHECK(answer->mCode == ResultCode::ConnectionLost);
}

TEST_CASE("A replica that has just been started is no evidence", "[Evidence]")
{
  // Guards against writes through a replica that was paused before its start.
  Follower driver;
  driver.Follow(1s);
  SetPaused(driver, 9);
  ServerEntry entry = driver.mState.mBackends.at(IdOf<ServerId>("s2")).mEntry;
  ++entry.mStartedAt;
  SECTION("again under its name")
  {
    driver.Server("s2").mPauseTerm = 0;
    ListServer(driver, entry);
  }
  SECTION("with the log of another at its address")
  {
    GatewayDriver::FakeServer next = driver.Server("s2");
    next.mName = "s4";
    next.mPauseTerm = 0;
    driver.mServers.push_back(next);
    driver.Server("s2").mDown = true;
    entry.mName = "s4";
    ListServer(driver, entry);
  }
  driver.Follow(kEvidenceTimeout + 300ms);
  CHECK_FALSE(IsPrimaryUsed(driver, 1));
}

TEST_CASE("A replica that has just joined is no evidence", "[Evidence]")
{
  // Guards against writes through a server that the promoter has not heard of.
  Follower driver;
  driver.Follow(1s);
  SetPaused(driver, 9);
  GatewayDriver::FakeServer joined = driver.Server("s2");
  joined.mName = "s4";
  joined.mPauseTerm = 0;
  driver.mServers.push_back(joined);
  ServerEntry entry = driver.mState.mBackends.at(IdOf<ServerId>("s2")).mEntry;
  entry.mName = "s4";
  entry.mAddress.mIp = "10.0.1.4";
  ListServer(driver, entry);
  driver.Follow(kEvidenceTimeout + 300ms);
  CHECK_FALSE(IsPrimaryUsed(driver, 1));
}
