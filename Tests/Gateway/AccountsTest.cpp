#include <catch2/catch.hpp>

#include "Accounts.h"
#include "Follower.h"
#include "GatewayDriver.h"

using namespace camphorstep;
using namespace camphorstep::gateway;
using namespace std::chrono_literals;

namespace {

constexpr Duration kRevokeTimeout = 2s;

/// A host of a deployment with accounts.
struct AccountDriver : GatewayDriver
{
  explicit AccountDriver(Duration aRevokeTimeout = 0s)
  {
    mState.mSelf.mRevokeTimeout = aRevokeTimeout;
    PublishAccounts(2, MakeRules());
    ConfirmConfiguration();
  }

  /// Publishes that the key "ka" is taken away.
  void TakeKeyAway() { PublishAccounts(3, MakeRulesWithoutKey()); }

  /// Sends a statement and returns the code of its answer, which the host
  /// gives itself.
  ResultCode Refusal(std::uint64_t aSession, StatementKind aKind)
  {
    Send(aSession, aKind);
    const auto answer = Answer();
    return answer ? answer->mCode : ResultCode::Ok;
  }

  /// The requests of a kind that servers were sent.
  std::size_t CountSent(BackendVerb aVerb) const
  {
    std::size_t n = 0;
    for (const auto& effect : mEffects) {
      const auto* const send = std::get_if<SendOnLink>(&effect);
      n += send != nullptr && send->mRequest.mVerb == aVerb ? 1 : 0;
    }
    return n;
  }

  /// Opens a session with a key; returns the code of its refusal.
  ResultCode Open(std::uint64_t aSession,
                  const std::string& aDatabase,
                  const std::string& aKey)
  {
    Deliver(SessionOpened{ SessionId{ aSession }, aDatabase, DigestKey(aKey) });
    const auto refusal = Take<RefuseSession>();
    return refusal ? refusal->mCode : ResultCode::Ok;
  }
};

}

TEST_CASE("A session with an unknown key is refused", "[Accounts]")
{
  AccountDriver driver;
  CHECK(driver.Open(1, "main", "kd") == ResultCode::Unauthenticated);
  CHECK(driver.Open(2, "main", "") == ResultCode::Unauthenticated);
  CHECK(driver.Open(3, "main", "ka") == ResultCode::Ok);
  CHECK(driver.Open(4, "nowhere", "kd") == ResultCode::UnknownDatabase);
  CHECK(driver.mState.mCounters.mRefusedSessions.mUnknownKey == 2);
}

TEST_CASE("A public route opens without a key", "[Accounts]")
{
  AccountDriver driver;
  for (const char* const key : { "", "kd", "ka" }) {
    driver.OpenSession(1, "near", key);
    driver.Send(1, StatementKind::Read);
    const auto read = driver.NextStatement();
    REQUIRE(read);
    CHECK(driver.AccountOf(read->mLink).empty());
    driver.Reply(*read);
    CHECK(driver.Answer()->mCode == ResultCode::Ok);
    driver.Deliver(SessionEnded{ SessionId{ 1 } });
  }
}

TEST_CASE("A deployment without accounts asks for no key", "[Accounts]")
{
  GatewayDriver driver;
  driver.mState.mSelf.mRevokeTimeout = 1s;
  driver.OpenSession(1, "main", "kd");
  driver.Run(3s);
  CHECK(driver.mState.mReady);
  driver.Send(1, StatementKind::Read);
  const auto read = driver.NextStatement();
  REQUIRE(read);
  CHECK(driver.AccountOf(read->mLink).empty());
}

TEST_CASE("A key that was taken away ends an idle session's use", "[Accounts]")
{
  AccountDriver driver;
  driver.OpenSession(1, "main", "ka");
  driver.OpenSession(2, "main", "kb");
  driver.TakeKeyAway();
  for (const StatementKind kind : { StatementKind::Read,
                                    StatementKind::Write,
                                    StatementKind::Begin,
                                    StatementKind::BeginReadOnly }) {
    CHECK(driver.Refusal(1, kind) == ResultCode::Unauthenticated);
  }
  CHECK(driver.CountSent(BackendVerb::Run) == 0);
  CHECK(driver.mState.mCounters.mRefusedStatements.mUnknownKey == 4);
  // Another key of the account stays.
  driver.Send(2, StatementKind::Write);
  const auto write = driver.NextStatement();
  REQUIRE(write);
  CHECK(driver.AccountOf(write->mLink) == "a");
}

TEST_CASE("A key that was taken away rolls an open transaction back",
          "[Accounts]")
{
  const auto kind = GENERATE(StatementKind::Commit, StatementKind::Write);
  AccountDriver driver;
  driver.OpenSession(1, "main", "ka");
  driver.Send(1, StatementKind::Begin);
  REQUIRE(driver.Answer());
  driver.Send(1, StatementKind::Write);
  driver.Reply(*driver.NextStatement(), ResultCode::Ok, TransactionState::Open);
  driver.Reply(*driver.NextStatement(), ResultCode::Ok, TransactionState::Open);
  REQUIRE(driver.Answer()->mCode == ResultCode::Ok);
  driver.TakeKeyAway();
  driver.Send(1, kind);
  const auto answer = driver.Answer();
  REQUIRE(answer);
  CHECK(answer->mCode == ResultCode::Unauthenticated);
  CHECK(answer->mState == (kind == StatementKind::Commit
                             ? TransactionState::None
                             : TransactionState::Failed));
  CHECK(driver.CountSent(BackendVerb::Rollback) == 1);
  CHECK(driver.CountSent(BackendVerb::Run) == 0);
  CHECK(driver.CountSent(BackendVerb::Commit) == 0);
}

TEST_CASE("A key that was taken away stops a statement between the begin of "
          "its transaction and its sending",
          "[Accounts]")
{
  AccountDriver driver;
  driver.OpenSession(1, "main", "ka");
  driver.Send(1, StatementKind::Begin);
  REQUIRE(driver.Answer());
  driver.Send(1, StatementKind::Write);
  driver.Send(1, StatementKind::Rollback);
  const auto begin = driver.NextStatement();
  REQUIRE(begin);
  REQUIRE(begin->mRequest.mVerb == BackendVerb::Begin);
  driver.TakeKeyAway();
  driver.Reply(*begin, ResultCode::Ok, TransactionState::Open);
  CHECK(driver.CountSent(BackendVerb::Run) == 0);
  CHECK(driver.CountSent(BackendVerb::Rollback) == 1);
  CHECK(driver.Answer()->mCode == ResultCode::Unauthenticated);
  // The statement that was sent ahead is answered too.
  const auto rollback = driver.Answer();
  REQUIRE(rollback);
  CHECK(rollback->mCode == ResultCode::Ok);
  CHECK(rollback->mState == TransactionState::None);
}

TEST_CASE("A key that was taken away stops a queued statement", "[Accounts]")
{
  AccountDriver driver;
  driver.OpenSession(1, "main", "ka");
  Statement write;
  write.mId = "w";
  write.mKind = StatementKind::Write;
  driver.Deliver(StatementReceived{ SessionId{ 1 }, write });
  REQUIRE_FALSE(driver.Answer());
  SECTION("while its connection is being opened")
  {
    driver.TakeKeyAway();
  }
  SECTION("together with its account")
  {
    driver.PublishAccounts(3, { { MakeAccount("b", { "kc" }) }, {} });
  }
  driver.Settle();
  const auto answer = driver.Answer();
  REQUIRE(answer);
  CHECK(answer->mCode == ResultCode::Unauthenticated);
  CHECK(driver.CountSent(BackendVerb::Run) == 0);
}

TEST_CASE("A key that was taken away stops a retry", "[Accounts]")
{
  AccountDriver driver;
  driver.OpenSession(1, "main", "ka");
  driver.Send(1, StatementKind::Read);
  driver.Reply(*driver.NextStatement(), ResultCode::Overloaded);
  driver.TakeKeyAway();
  driver.Run(50ms);
  const auto answer = driver.Answer();
  REQUIRE(answer);
  CHECK(answer->mCode == ResultCode::Unauthenticated);
}

TEST_CASE("A key that moves to another account goes on in that one's name",
          "[Accounts]")
{
  AccountDriver driver;
  driver.OpenSession(1, "main", "ka");
  driver.Send(1, StatementKind::Begin);
  REQUIRE(driver.Answer());
  const AccountRules moved{
    { MakeAccount("a", { "kb" }), MakeAccount("b", { "ka", "kc" }) }, {}
  };
  driver.PublishAccounts(3, moved);
  CHECK(driver.Refusal(1, StatementKind::Write) ==
        ResultCode::TransactionAborted);
  driver.Send(1, StatementKind::Rollback);
  REQUIRE(driver.Answer()->mCode == ResultCode::Ok);
  driver.Send(1, StatementKind::Write);
  const auto write = driver.NextStatement();
  REQUIRE(write);
  CHECK(driver.AccountOf(write->mLink) == "b");
}

TEST_CASE("Keys that change in series are those of the newest version",
          "[Accounts]")
{
  AccountDriver driver;
  driver.TakeKeyAway();
  driver.PublishAccounts(4, MakeRules());
  CHECK(driver.Open(1, "main", "ka") == ResultCode::Ok);
  driver.PublishAccounts(5, MakeRulesWithoutKey());
  CHECK(driver.Refusal(1, StatementKind::Read) == ResultCode::Unauthenticated);
  // As after a return of the store from an older copy.
  driver.PublishAccounts(4, MakeRules());
  CHECK(driver.Refusal(1, StatementKind::Read) == ResultCode::Unauthenticated);
  CHECK(driver.mState.mCatalogue.mAccounts->mByKey.size() == 2);
}

TEST_CASE("A flood of refusals is logged once a second", "[Accounts]")
{
  AccountDriver driver;
  driver.mEffects.clear();
  for (std::uint64_t n = 1; n <= 50; ++n) {
    driver.Open(n, "main", "kd");
  }
  std::size_t records = 0;
  while (const auto record = driver.Take<WriteLogRecord>()) {
    records += record->mEvent == "session refused" ? 1 : 0;
  }
  CHECK(records == 1);
  CHECK(driver.mState.mCounters.mRefusedSessions.mUnknownKey == 50);
}

TEST_CASE("A configuration that is not confirmed serves no key", "[Accounts]")
{
  AccountDriver driver(kRevokeTimeout);
  driver.OpenSession(1, "main", "ka");
  driver.OpenSession(2, "near", "");
  driver.Run(1'900ms);
  CHECK(driver.mState.mReady);
  driver.Send(1, StatementKind::Write);
  driver.Reply(*driver.NextStatement());
  CHECK(driver.Answer()->mCode == ResultCode::Ok);

  driver.Run(150ms);
  CHECK_FALSE(driver.mState.mReady);
  CHECK(driver.Refusal(1, StatementKind::Write) ==
        ResultCode::ConfigurationStale);
  CHECK(driver.Open(3, "main", "ka") == ResultCode::ConfigurationStale);
  CHECK(driver.Open(3, "main", "kd") == ResultCode::ConfigurationStale);
  // Public routes go on.
  CHECK(driver.Open(4, "near", "") == ResultCode::Ok);
  driver.Send(2, StatementKind::Read);
  driver.Reply(*driver.NextStatement());
  CHECK(driver.Answer()->mCode == ResultCode::Ok);

  driver.ConfirmConfiguration();
  // The call that was answered now was made when the last answer came.
  CHECK_FALSE(driver.mState.mReady);
  driver.ConfirmConfiguration();
  CHECK(driver.mState.mReady);
  driver.Send(1, StatementKind::Write);
  driver.Reply(*driver.NextStatement());
  CHECK(driver.Answer()->mCode == ResultCode::Ok);
}

TEST_CASE("An unconfirmed configuration rolls an open transaction back",
          "[Accounts]")
{
  AccountDriver driver(kRevokeTimeout);
  driver.OpenSession(1, "main", "ka");
  driver.Run(1s);
  driver.Send(1, StatementKind::Begin);
  REQUIRE(driver.Answer());
  driver.Send(1, StatementKind::Write);
  driver.Reply(*driver.NextStatement(), ResultCode::Ok, TransactionState::Open);
  driver.Reply(*driver.NextStatement(), ResultCode::Ok, TransactionState::Open);
  REQUIRE(driver.Answer()->mCode == ResultCode::Ok);
  driver.Run(1'100ms);
  CHECK(driver.Refusal(1, StatementKind::Commit) ==
        ResultCode::ConfigurationStale);
  CHECK(driver.CountSent(BackendVerb::Rollback) == 1);
  CHECK(driver.CountSent(BackendVerb::Commit) == 0);
}

TEST_CASE("The age of a configuration counts a suspension", "[Accounts]")
{
  AccountDriver driver(kRevokeTimeout);
  driver.OpenSession(1, "main", "ka");
  driver.Run(100ms);
  driver.mNow += 3s;
  // The first event after the suspension, before any timer.
  CHECK(driver.Refusal(1, StatementKind::Write) ==
        ResultCode::ConfigurationStale);
}

TEST_CASE("Where configurations go out of date the store's watch is short",
          "[Accounts]")
{
  const auto [timeout, wait] =
    GENERATE(std::pair<Duration, Duration>(0s, 1s),
             std::pair<Duration, Duration>(2s, 200ms),
             std::pair<Duration, Duration>(60s, 1s));
  AccountDriver driver(timeout);
  driver.mEffects.clear();
  driver.ConfirmConfiguration();
  std::optional<WatchTable> watch;
  while (const auto call = driver.Take<WatchTable>()) {
    if (call->mTable == Table::Operator) {
      watch = call;
    }
  }
  REQUIRE(watch);
  CHECK(watch->mWait == wait);
}

TEST_CASE("Other hosts confirm a host's configuration", "[Accounts]")
{
  Follower follower;
  follower.mState.mSelf.mRevokeTimeout = kRevokeTimeout;
  follower.PublishAccounts(2, MakeRules());
  follower.OpenSession(1, "main", "ka");
  follower.Follow(5s);
  CHECK(follower.mState.mReady);
  follower.Send(1, StatementKind::Write);
  CHECK(follower.NextStatement());
  SECTION("unless they were not told for long themselves")
  {
    // The store does not answer this host either.
    follower.mConfirmationAge = 1h;
    follower.Follow(kRevokeTimeout + 400ms);
    CHECK_FALSE(follower.mState.mReady);
    CHECK(follower.mState.mCatalogue.mIsOutOfDate);
  }
}
