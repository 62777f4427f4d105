#include <cstdint>
#include <set>
#include <tuple>
#include <vector>

#include <catch2/catch.hpp>

#include "Backend/AccountTurns.h"
#include "GatewayDriver.h"

using namespace camphorstep;
using namespace camphorstep::gateway;
using namespace std::chrono_literals;

namespace {

constexpr AccountId kFlooding{ 1 };
constexpr AccountId kCalm{ 2 };

/// A queue of statements by turn and arrival, with their accounts.
struct TurnQueue
{
  AccountTurns mTurns;
  std::set<std::tuple<std::uint64_t, std::uint64_t, AccountId>> mWaiting;
  std::uint64_t mArrivals = 0;

  void Arrive(AccountId aAccount)
  {
    mWaiting.emplace(TakeTurn(mTurns, aAccount), ++mArrivals, aAccount);
  }

  /// Starts the first statement and returns its account.
  AccountId StartNext()
  {
    const auto first = *mWaiting.begin();
    mWaiting.erase(mWaiting.begin());
    StartTurn(mTurns, std::get<0>(first));
    if (mWaiting.empty()) {
      EndTurns(mTurns);
    }
    return std::get<2>(first);
  }
};

/// Opens a session of an account and sends a read in it.
void
SendRead(GatewayDriver& aDriver, std::uint64_t aSession, AccountId aAccount)
{
  aDriver.OpenSession(aSession, "main");
  aDriver.mState.mSessions.at(SessionId{ aSession }).mAccount = aAccount;
  aDriver.Send(aSession, StatementKind::Read);
}

}

// Load: one account floods, another sends a statement now and then.
TEST_CASE("The flood of one account does not delay another account",
          "[AccountTurns]")
{
  TurnQueue queue;
  for (int n = 0; n < 100; ++n) {
    queue.Arrive(kFlooding);
  }
  for (int round = 0; round < 10; ++round) {
    queue.Arrive(kCalm);
    // One statement of the other account may have the same turn.
    const AccountId first = queue.StartNext();
    const AccountId second = queue.StartNext();
    CHECK((first == kCalm || second == kCalm));
    CHECK((first == kFlooding || second == kFlooding));
  }
}

TEST_CASE("Accounts that flood alike are served alike", "[AccountTurns]")
{
  TurnQueue queue;
  for (int n = 0; n < 20; ++n) {
    queue.Arrive(kFlooding);
  }
  for (int n = 0; n < 20; ++n) {
    queue.Arrive(kCalm);
  }
  int served = 0;
  for (int n = 0; n < 20; ++n) {
    served += queue.StartNext() == kCalm ? 1 : 0;
  }
  CHECK(served == 10);
}

TEST_CASE("An account that was idle has no credit", "[AccountTurns]")
{
  TurnQueue queue;
  for (int n = 0; n < 20; ++n) {
    queue.Arrive(kFlooding);
  }
  for (int n = 0; n < 10; ++n) {
    queue.StartNext();
  }
  for (int n = 0; n < 10; ++n) {
    queue.Arrive(kCalm);
  }
  int served = 0;
  for (int n = 0; n < 10; ++n) {
    served += queue.StartNext() == kCalm ? 1 : 0;
  }
  CHECK(served <= 6);
}

TEST_CASE("Refused statements cost an account no turns", "[AccountTurns]")
{
  AccountTurns turns;
  const std::uint64_t first = TakeTurn(turns, kFlooding);
  for (int n = 0; n < 50; ++n) {
    ReturnTurn(turns, kFlooding, TakeTurn(turns, kFlooding));
  }
  CHECK(TakeTurn(turns, kFlooding) == first + 1);
}

TEST_CASE("Without accounts all statements have the same turn",
          "[AccountTurns]")
{
  AccountTurns turns;
  for (int n = 0; n < 20; ++n) {
    const std::uint64_t turn = TakeTurn(turns, AccountId{});
    CHECK(turn == 0);
    if (n % 2 == 0) {
      StartTurn(turns, turn);
    }
  }
}

TEST_CASE("Statements without an account take turns with accounts",
          "[AccountTurns]")
{
  TurnQueue queue;
  queue.Arrive(kCalm);
  for (int n = 0; n < 20; ++n) {
    queue.Arrive(AccountId{});
  }
  queue.Arrive(kCalm);
  int served = 0;
  for (int n = 0; n < 4; ++n) {
    served += queue.StartNext() == kCalm ? 1 : 0;
  }
  CHECK(served == 2);
}

// Load: one account has more statements waiting at a server than it works off.
TEST_CASE("A server's queue serves accounts in turn", "[AccountTurns]")
{
  GatewayDriver driver;
  std::uint64_t session = 0;
  for (int n = 0; n < 30; ++n) {
    SendRead(driver, ++session, kFlooding);
  }
  const SessionId calm{ ++session };
  SendRead(driver, session, kCalm);
  int ahead = 0;
  std::vector<SendOnLink> running;
  while (const auto sent = driver.NextStatement()) {
    running.push_back(*sent);
  }
  // The statements that run already are ahead of it, and one of its turn.
  const std::size_t mostAhead = running.size() + 1;
  bool isServed = false;
  while (!isServed && !running.empty()) {
    driver.Reply(running.front());
    running.erase(running.begin());
    while (const auto sent = driver.NextStatement()) {
      running.push_back(*sent);
    }
    while (const auto answer = driver.Answer()) {
      isServed = isServed || answer->mSession == calm;
      ahead += answer->mSession == calm ? 0 : 1;
    }
  }
  CHECK(isServed);
  CHECK(ahead <= static_cast<int>(mostAhead));
}

TEST_CASE("Urgent statements of a flooding account go first", "[AccountTurns]")
{
  const QueuePlace urgent{ 0, 100, 2 };
  const QueuePlace calm{ 1, 0, 1 };
  CHECK(urgent < calm);
}
