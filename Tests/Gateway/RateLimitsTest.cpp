#include <catch2/catch.hpp>

#include <optional>
#include <string>

#include "Accounts/ClientAccount.h"
#include "Gateway/PeerMessage.h"
#include "Gateway/Tuning.h"
#include "GatewayDriver.h"
#include "Wire/Codec.h"

using namespace camphorstep;
using namespace camphorstep::gateway;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kRate = 10;
const AccountId kLimited = IdOf<AccountId>("a");

/// The account "a" with a limit, and "b" without. The route "near" needs no
/// key.
AccountRules
LimitedRules()
{
  ClientAccount limited{ "a", { DigestKey("ka") }, kRate, kRate };
  ClientAccount other{ "b", { DigestKey("kb") }, 0, 0 };
  return { { limited, other }, { "near" } };
}

/// A host of a deployment in which the account "a" has a limit. It holds the
/// promoter's lease at first.
struct LimitDriver : GatewayDriver
{
  LimitDriver() { PublishAccounts(2, LimitedRules()); }

  void PublishAccounts(std::uint64_t aVersion, const AccountRules& aRules)
  {
    RoutingVersion routing;
    routing.mVersion = aVersion;
    for (const auto& [name, route] : mState.mCatalogue.mRoutes) {
      routing.mRoutes.push_back(route);
    }
    routing.mGroups = { { "group", 20 } };
    routing.mAccountRules = aRules;
    TableAnswer answer;
    answer.mCall = mState.mCatalogue.mTables[0].mCall;
    answer.mTable = Table::Operator;
    answer.mOutcome = CallOutcome::Ok;
    answer.mVersion = ++mStoreVersion;
    answer.mRouting = routing;
    Deliver(answer);
    mEffects.clear();
  }

  /// Opens a session of an account.
  void OpenAs(std::uint64_t aSession,
              const std::string& aDatabase,
              const std::string& aKey,
              AccountId aAccount)
  {
    Deliver(SessionOpened{ SessionId{ aSession }, aDatabase, DigestKey(aKey) });
    mEffects.clear();
    mState.mSessions.at(SessionId{ aSession }).mAccount = aAccount;
  }

  /// Has another host of a data centre hold the lease and be the source.
  void Follow(const std::string& aDataCentre)
  {
    mState.mPromoter.mHeldUntil = Instant{};
    mState.mPromoter.mLease.mHolder = "h2";
    mState.mTimers.Cancel(TimerKind::PromoterLease, 0);
    mState.mTimers.Cancel(TimerKind::QueryPeer, 0);
    mState.mCatalogue.mHosts["h2"] = {
      "h2", { "10.0.0.2", 1 }, aDataCentre, 8, 500
    };
    mState.mFleet.mSourceState.mSource = "h2";
    mState.mFleet.mSourceState.mIsResponsive = true;
  }

  /// Sends a read in a session with a key and runs it if a server is sent it.
  /// Returns the answer to the caller, if there is one yet.
  std::optional<gateway::AnswerCaller> Read(std::uint64_t aSession)
  {
    Send(aSession, StatementKind::Read);
    return FinishRead();
  }

  std::optional<gateway::AnswerCaller> FinishRead()
  {
    if (const auto request = NextStatement()) {
      Reply(*request);
    }
    return Answer();
  }

  /// The next query for tokens.
  std::optional<TokensQueried> TokenQuery()
  {
    while (const auto query = Take<SendRateLimitQuery>()) {
      if (const auto* const tokens =
            std::get_if<TokensQueried>(&query->mQuery)) {
        return *tokens;
      }
    }
    return std::nullopt;
  }

  std::optional<SharesQueried> NextShareQuery()
  {
    while (const auto query = Take<SendRateLimitQuery>()) {
      if (const auto* const shares =
            std::get_if<SharesQueried>(&query->mQuery)) {
        return *shares;
      }
    }
    return std::nullopt;
  }

  /// The next answer to another host's query for tokens.
  std::optional<TokensReported> TokenReport()
  {
    while (const auto report = Take<SendRateLimitReport>()) {
      if (const auto* const tokens =
            std::get_if<TokensReported>(&report->mReport)) {
        return *tokens;
      }
    }
    return std::nullopt;
  }

  void GiveTokens(const TokensQueried& aQuery, unsigned aCount)
  {
    Deliver(RateLimitReportReceived{ TokensReported{
      aQuery.mAccount, { aQuery.mWanted.mNumber, aCount, 400ms } } });
    Settle();
  }

  void QueryTokens(std::uint64_t aNumber, unsigned aCount)
  {
    Deliver(RateLimitQueryReceived{
      PeerLinkId{ 9 }, TokensQueried{ kLimited, { aNumber, aCount } } });
  }
};

}

TEST_CASE("Over the limit a statement is refused at once, as not run",
          "[RateLimits]")
{
  LimitDriver driver;
  driver.OpenAs(1, "main", "ka", kLimited);
  // The reserve of a granter starts empty, and the floor is one operation.
  std::optional<gateway::AnswerCaller> refused;
  for (std::size_t n = 0; n < 5 && !refused; ++n) {
    const auto answer = driver.Read(1);
    REQUIRE(answer);
    if (answer->mCode != ResultCode::Ok) {
      refused = answer;
    }
  }
  REQUIRE(refused);
  CHECK(refused->mCode == ResultCode::RateLimited);
  CHECK(refused->mErrorText.find("retry after") != std::string::npos);
  CHECK_FALSE(driver.Take<SendOnLink>());
  driver.Run(1s);
  const auto answer = driver.Read(1);
  REQUIRE(answer);
  CHECK(answer->mCode == ResultCode::Ok);
  CHECK(driver.mState.mCounters.mRateLimits.mRefused == 1);
}

TEST_CASE("A flood of refusals is not a flood of log records", "[RateLimits]")
{
  LimitDriver driver;
  driver.OpenAs(1, "main", "ka", kLimited);
  for (std::size_t n = 0; n < 50; ++n) {
    driver.Read(1);
  }
  std::size_t records = 0;
  while (const auto record = driver.Take<WriteLogRecord>()) {
    records +=
      record->mEvent == "statement refused: its account is over its limit";
  }
  CHECK(records == 1);
}

TEST_CASE("A transaction is counted once, at its first statement",
          "[RateLimits]")
{
  LimitDriver driver;
  driver.OpenAs(1, "main", "ka", kLimited);
  driver.Read(1);
  driver.Run(1s);
  const std::uint64_t before = driver.mState.mCounters.mRateLimits.mAllowed;
  driver.Send(1, StatementKind::Begin);
  REQUIRE(driver.Answer());
  driver.Send(1, StatementKind::Write);
  const auto begin = driver.NextStatement();
  REQUIRE(begin);
  REQUIRE(begin->mRequest.mVerb == BackendVerb::Begin);
  driver.Reply(*begin, ResultCode::Ok, TransactionState::Open);
  for (std::size_t n = 0; n < 5; ++n) {
    const auto request = driver.NextStatement();
    REQUIRE(request);
    driver.Reply(*request, ResultCode::Ok, TransactionState::Open);
    REQUIRE(driver.Answer());
    driver.Send(1, StatementKind::Write);
  }
  CHECK(driver.mState.mCounters.mRateLimits.mAllowed == before + 1);
}

TEST_CASE("A statement waits for its source's token", "[RateLimits]")
{
  LimitDriver driver;
  driver.Follow("a");
  driver.OpenAs(1, "main", "ka", kLimited);
  CHECK_FALSE(driver.Read(1));
  const auto query = driver.TokenQuery();
  REQUIRE(query);
  CHECK(query->mAccount == kLimited);
  driver.GiveTokens(*query, 1);
  const auto answer = driver.FinishRead();
  REQUIRE(answer);
  CHECK(answer->mCode == ResultCode::Ok);
  // The same token comes once more.
  CHECK_FALSE(driver.Read(1));
  driver.GiveTokens(*query, 1);
  CHECK_FALSE(driver.FinishRead());
}

TEST_CASE("A statement without its source's token is refused", "[RateLimits]")
{
  LimitDriver driver;
  driver.Follow("a");
  driver.OpenAs(1, "main", "ka", kLimited);
  CHECK_FALSE(driver.Read(1));
  auto query = driver.TokenQuery();
  REQUIRE(query);
  SECTION("because the source has none")
  {
    driver.GiveTokens(*query, 0);
  }
  SECTION("because the source is silent")
  {
    driver.Run(300ms);
  }
  const auto answer = driver.FinishRead();
  REQUIRE(answer);
  CHECK(answer->mCode == ResultCode::RateLimited);
  CHECK(driver.mState.mRateLimits.mSessions.empty());
}

TEST_CASE("A token for a caller that has left starts nothing", "[RateLimits]")
{
  LimitDriver driver;
  driver.Follow("a");
  driver.OpenAs(1, "main", "ka", kLimited);
  CHECK_FALSE(driver.Read(1));
  const auto query = driver.TokenQuery();
  REQUIRE(query);
  driver.Deliver(SessionEnded{ SessionId{ 1 } });
  driver.GiveTokens(*query, 1);
  CHECK_FALSE(driver.FinishRead());
  CHECK(driver.mState.mRateLimits.mSessions.empty());
}

TEST_CASE("The granter answers queries for tokens", "[RateLimits]")
{
  LimitDriver driver;
  driver.QueryTokens(1, 1);
  REQUIRE(driver.TokenReport());
  driver.Run(1s);
  driver.QueryTokens(2, 1'000);
  const auto report = driver.TokenReport();
  REQUIRE(report);
  CHECK(report->mGiven.mNumber == 2);
  CHECK(report->mGiven.mCount >= 3);
  CHECK(report->mGiven.mCount <= kRate);
}

TEST_CASE("A host passes a query for tokens on to its source", "[RateLimits]")
{
  LimitDriver driver;
  driver.Follow("b");
  driver.QueryTokens(5, 2);
  const auto query = driver.TokenQuery();
  REQUIRE(query);
  driver.GiveTokens(*query, query->mWanted.mCount);
  const auto report = driver.TokenReport();
  REQUIRE(report);
  CHECK(report->mGiven.mNumber == 5);
  CHECK(report->mGiven.mCount == 2);
}

TEST_CASE("A spender takes only the report on its latest query for shares",
          "[RateLimits]")
{
  LimitDriver driver;
  driver.Follow("b");
  driver.OpenAs(1, "main", "ka", kLimited);
  driver.Read(1);
  driver.Run(1'100ms);
  const auto first = driver.NextShareQuery();
  REQUIRE(first);
  driver.Run(1s);
  const auto second = driver.NextShareQuery();
  REQUIRE(second);
  const auto& accounts = driver.mState.mRateLimits.mAllowances.mAccounts;
  driver.Deliver(RateLimitReportReceived{
    SharesReported{ first->mNumber, { { { kLimited, 100 } } } } });
  CHECK(accounts.at(kLimited).mShare == 0);
  driver.Deliver(RateLimitReportReceived{
    SharesReported{ second->mNumber, { { { kLimited, 100 } } } } });
  CHECK(accounts.at(kLimited).mShare == 100);
}

TEST_CASE("Only the granter answers queries for shares", "[RateLimits]")
{
  LimitDriver driver;
  const SharesQueried query{ 3, "h3", { 5, { { kLimited, 70, 1'000 } } } };
  SECTION("the granter renews what a spender has")
  {
    driver.Deliver(RateLimitQueryReceived{ PeerLinkId{ 9 }, query });
    const auto report = driver.Take<SendRateLimitReport>();
    REQUIRE(report);
    const auto* const shares = std::get_if<SharesReported>(&report->mReport);
    REQUIRE(shares != nullptr);
    CHECK(shares->mNumber == 3);
    REQUIRE(shares->mReport.mGrants.size() == 1);
    CHECK(shares->mReport.mGrants[0].mShare == 70);
  }
  SECTION("another host does not")
  {
    driver.Follow("b");
    driver.Deliver(RateLimitQueryReceived{ PeerLinkId{ 9 }, query });
    CHECK_FALSE(driver.Take<SendRateLimitReport>());
  }
}

TEST_CASE("Accounts without a limit and callers without one take no part",
          "[RateLimits]")
{
  LimitDriver driver;
  driver.Follow("b");
  driver.OpenAs(1, "main", "kb", IdOf<AccountId>("b"));
  driver.OpenAs(2, "near", "", AccountId{});
  for (const std::uint64_t session : { 1U, 2U }) {
    const auto answer = driver.Read(session);
    REQUIRE(answer);
    CHECK(answer->mCode == ResultCode::Ok);
  }
  driver.Run(2s);
  CHECK_FALSE(driver.Take<SendRateLimitQuery>());
  CHECK(driver.mState.mRateLimits.mAllowances.mAccounts.empty());
}

TEST_CASE("A limit that is lowered binds the next statement", "[RateLimits]")
{
  LimitDriver driver;
  driver.OpenAs(1, "main", "ka", kLimited);
  driver.Read(1);
  driver.Run(3s);
  AccountRules rules = LimitedRules();
  rules.mAccounts[0].mRatePerSecond = 1;
  rules.mAccounts[0].mBurst = 0;
  driver.PublishAccounts(3, rules);
  driver.mState.mRateLimits.mBounds.mSlack = 0;
  CHECK(driver.Read(1)->mCode == ResultCode::RateLimited);
}

TEST_CASE("Messages about limits are decoded as they were encoded",
          "[RateLimits]")
{
  const gateway::PeerMessage messages[] = {
    RateLimitQuery(
      SharesQueried{ 300, "h1", { 7, { { kLimited, 40'000, 12'345 } } } }),
    RateLimitQuery(TokensQueried{ kLimited, { 400, 3 } }),
    RateLimitReport(SharesReported{ 300, { { { kLimited, 40'000 } } } }),
    RateLimitReport(TokensReported{ kLimited, { 400, 2, 750ms } }),
  };
  for (const gateway::PeerMessage& message : messages) {
    const std::string bytes = Encode(message);
    CHECK(Encode(Decode<gateway::PeerMessage>(bytes)) == bytes);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      CHECK_THROWS_AS(Decode<gateway::PeerMessage>(bytes.substr(0, n)),
                      DecodeError);
    }
  }
}
