#include <catch2/catch.hpp>

#include <array>
#include <set>

#include "Accounts.h"
#include "Backend/LinkChoice.h"
#include "GatewayDriver.h"
#include "Model/Ids.h"

using namespace camphorstep;
using namespace camphorstep::gateway;
using namespace std::chrono_literals;

namespace {

const AccountId kA = IdOf<AccountId>("a");
const AccountId kB = IdOf<AccountId>("b");
const AccountId kC = IdOf<AccountId>("c");
constexpr Instant kNow{ 100s };

/// A host whose callers belong to accounts "0", "1" and so on, each with the
/// key of its own name. Session n is one of account n - 1.
struct ManyAccounts : GatewayDriver
{
  explicit ManyAccounts(std::uint64_t aCount)
  {
    AccountRules rules;
    for (std::uint64_t n = 0; n < aCount; ++n) {
      rules.mAccounts.push_back(
        MakeAccount(std::to_string(n), { std::to_string(n) }));
    }
    PublishAccounts(2, std::move(rules));
    for (std::uint64_t n = 0; n < aCount; ++n) {
      OpenSession(n + 1, "main", std::to_string(n));
    }
    mEffects.clear();
  }

  /// Sends a write and answers it; returns its connection.
  LinkId Write(std::uint64_t aSession)
  {
    Send(aSession, StatementKind::Write);
    const auto write = NextStatement();
    REQUIRE(write);
    const LinkId link = write->mLink;
    CHECK(AccountOf(link) == std::to_string(aSession - 1));
    Reply(*write);
    CHECK(Answer()->mCode == ResultCode::Ok);
    return link;
  }

  /// Sends a write without opening connections.
  void Push(std::uint64_t aSession)
  {
    Statement write;
    write.mId = "w" + std::to_string(aSession);
    write.mKind = StatementKind::Write;
    Deliver(StatementReceived{ SessionId{ aSession }, write });
  }
};

}

TEST_CASE("Accounts that wait for connections get one opening each first",
          "[AccountLinks]")
{
  std::array demands{ LinkDemand{ kA, 10, 0, kNow },
                      LinkDemand{ kB, 1, 0, kNow },
                      LinkDemand{ kC, 2, 1, kNow } };
  std::vector<AccountId> order;
  for (LinkDemand* next = NextOpening(demands); next != nullptr;
       next = NextOpening(demands)) {
    order.push_back(next->mAccount);
    ++next->mOpening;
  }
  REQUIRE(order.size() == 12);
  CHECK(std::vector<AccountId>(order.begin(), order.begin() + 4) ==
        std::vector<AccountId>{ kA, kB, kA, kC });
}

TEST_CASE("The least recently used connection of another account is closed",
          "[AccountLinks]")
{
  const LinkDemand demand{ kA, 1, 0, kNow - 10ms };
  const std::vector<IdleLink> idle{ { LinkId{ 1 }, kA, kNow - 9s },
                                    { LinkId{ 2 }, kB, kNow - 1s },
                                    { LinkId{ 3 }, kC, kNow - 2s },
                                    { LinkId{ 4 }, kB, kNow - 3s, true } };
  CHECK(ChooseLinkToClose(idle, demand, kNow) == LinkId{ 3 });
  SECTION("none that its own account's statements can use at once")
  {
    const std::vector<IdleLink> wanted{ idle[0], idle[3] };
    CHECK_FALSE(ChooseLinkToClose(wanted, demand, kNow));
    SECTION("until a statement has waited long enough")
    {
      CHECK(ChooseLinkToClose(wanted, demand, kNow + 1s) == LinkId{ 4 });
      CHECK(ChooseLinkToClose(idle, demand, kNow + 1s) == LinkId{ 3 });
    }
  }
  SECTION("never one of its own")
  {
    CHECK_FALSE(
      ChooseLinkToClose(std::vector<IdleLink>{ idle[0] }, demand, kNow + 1s));
  }
}

TEST_CASE("A connection carries statements of its own account only",
          "[AccountLinks]")
{
  ManyAccounts driver(2);
  const LinkId first = driver.Write(1);
  const LinkId second = driver.Write(2);
  CHECK(first != second);
  CHECK(driver.Write(1) == first);
  CHECK(driver.Write(2) == second);
  CHECK(driver.mState.mCounters.mLinksClosedForOthers == 0);
}

TEST_CASE("Several accounts that wait each get their connection",
          "[AccountLinks]")
{
  // Without a count by account, the connection that is being opened for the
  // first one would count for all.
  ManyAccounts driver(3);
  for (const std::uint64_t session : { 1, 2, 3 }) {
    driver.Push(session);
  }
  std::set<std::string> accounts;
  while (const auto open = driver.Take<OpenLink>()) {
    accounts.insert(open->mAccount);
    driver.mLinkAccounts[open->mLink] = open->mAccount;
    driver.Deliver(LinkReady{ open->mLink, std::nullopt });
  }
  CHECK(accounts == std::set<std::string>{ "0", "1", "2" });
  std::set<std::string> sent;
  while (const auto write = driver.Take<SendOnLink>()) {
    sent.insert(driver.AccountOf(write->mLink));
  }
  CHECK(sent == accounts);
}

TEST_CASE("Statements do not wait behind an account without a connection",
          "[AccountLinks]")
{
  ManyAccounts driver(2);
  driver.Write(2);
  driver.Push(1);
  driver.Push(2);
  const auto write = driver.Take<SendOnLink>();
  REQUIRE(write);
  CHECK(driver.AccountOf(write->mLink) == "1");
}

TEST_CASE("More accounts than connections are served in turn", "[AccountLinks]")
{
  // A server accepts 20 connections, of which this host may have 8.
  constexpr std::uint64_t kLimit = 8;
  ManyAccounts driver(kLimit + 2);
  std::vector<LinkId> links;
  for (std::uint64_t n = 1; n <= kLimit; ++n) {
    links.push_back(driver.Write(n));
    driver.Run(10ms);
  }
  driver.Write(1);
  driver.mEffects.clear();
  // The account that was served longest ago gives up its connection.
  driver.Write(kLimit + 1);
  const auto closed = driver.Take<CloseLink>();
  REQUIRE(closed);
  CHECK(closed->mLink == links[1]);
  CHECK(driver.mState.mCounters.mLinksClosedForOthers == 1);
  driver.Write(kLimit + 2);
  CHECK(driver.mState.mCounters.mLinksClosedForOthers == 2);
  CHECK(driver.Write(1) == links[0]);
}

TEST_CASE("A statement gets a connection although others are never idle",
          "[AccountLinks]")
{
  // Two accounts keep all of the host's connections busy; a third one's
  // statement waits.
  constexpr std::uint64_t kLimit = 8;
  ManyAccounts driver(3);
  std::uint64_t next = 10;
  const auto flood = [&](std::uint64_t aCount) {
    for (std::uint64_t n = 0; n < aCount; ++n) {
      ++next;
      driver.OpenSession(next, "main", next % 2 == 0 ? "0" : "1");
      driver.Push(next);
    }
  };
  flood(3 * kLimit);
  driver.Run(50ms);
  driver.Push(3);
  bool served = false;
  for (int round = 0; round < 40 && !served; ++round) {
    driver.Run(10ms);
    std::vector<SendOnLink> running;
    while (const auto send = driver.Take<SendOnLink>()) {
      running.push_back(*send);
    }
    for (const SendOnLink& send : running) {
      served |= driver.AccountOf(send.mLink) == "2";
      driver.Reply(send);
    }
    flood(running.size());
  }
  CHECK(served);
}

TEST_CASE("A server without room is given another account's connection",
          "[AccountLinks]")
{
  ManyAccounts driver(2);
  driver.Write(1);
  driver.Server("s1").mConnections = 19;
  driver.Run(300ms);
  // The status that says so may have had idle connections closed by now.
  driver.OpenSession(3, "main", "0");
  driver.Send(3, StatementKind::Write);
  const auto write = driver.NextStatement();
  REQUIRE(write);
  CHECK(driver.AccountOf(write->mLink) == "0");
  driver.Reply(*write);
  driver.mEffects.clear();
  driver.Push(2);
  const auto closed = driver.Take<CloseLink>();
  REQUIRE(closed);
  CHECK(closed->mLink == write->mLink);
  CHECK(driver.Take<OpenLink>()->mAccount == "1");
}
