#include <catch2/catch.hpp>

#include "RateLimits/Allowance.h"
#include "RateLimits/Floor.h"
#include "RateLimits/Ledger.h"

using namespace camphorstep;
using namespace camphorstep::gateway;

namespace {

constexpr AccountId kAccount{ 7 };
constexpr Instant kStart{ std::chrono::hours(1) };

ShareQuery
QueryOf(Share aShare, std::uint32_t aDemand, std::uint64_t aIncarnation = 1)
{
  return { aIncarnation, { { kAccount, aShare, aDemand } } };
}

Share
Granted(const std::optional<ShareReport>& aReport)
{
  REQUIRE(aReport.has_value());
  REQUIRE(aReport->mGrants.size() == 1);
  return aReport->mGrants[0].mShare;
}

/// A ledger that knows all shares in force.
Ledger
CompleteLedger()
{
  Ledger ledger;
  BeginLedger(ledger, 1, kStart - kShareDuration - kShareMargin);
  return ledger;
}

AllowanceTerms
TermsAt(Instant aNow)
{
  AllowanceTerms terms;
  terms.mNow = aNow;
  terms.mLimit = { 10, 10 };
  terms.mDataCentres = 6;
  return terms;
}

TokenRequest
RequestAt(std::uint64_t aId, Instant aNow)
{
  return { aId, 1, 0, aNow + kTokenTimeout };
}

}

TEST_CASE("A spender gets what the others leave", "[RateLimits]")
{
  Ledger ledger = CompleteLedger();
  NoteShareQuery(ledger, "a", 1, QueryOf(0, 1'000), kStart);
  CHECK(Granted(GrantShares(ledger, "a", 1, 1, kStart)) >=
        kGrantablePart * 9 / 10);
  NoteShareQuery(ledger, "b", 1, QueryOf(0, 1'000), kStart);
  CHECK(Granted(GrantShares(ledger, "b", 1, 1, kStart)) <=
        kGrantablePart / 10 + 1);
  // Once "a" has said that it has less, "b" gets its part.
  NoteShareQuery(ledger, "a", 2, QueryOf(kGrantablePart, 1'000), kStart);
  const Share lowered = Granted(GrantShares(ledger, "a", 2, 1, kStart));
  NoteShareQuery(ledger, "a", 3, QueryOf(lowered, 1'000), kStart);
  GrantShares(ledger, "a", 3, 1, kStart);
  NoteShareQuery(ledger, "b", 2, QueryOf(0, 1'000), kStart);
  CHECK(Granted(GrantShares(ledger, "b", 2, 1, kStart)) >=
        kGrantablePart * 2 / 5);
  CHECK(SharesInForce(ledger, kAccount, kStart) <= kGrantablePart);
}

TEST_CASE("A lowered share counts until its spender has said so",
          "[RateLimits]")
{
  Ledger ledger = CompleteLedger();
  NoteShareQuery(ledger, "a", 1, QueryOf(kGrantablePart, 0), kStart);
  GrantShares(ledger, "a", 1, 1, kStart);
  NoteShareQuery(ledger, "b", 1, QueryOf(0, 9'000), kStart);
  CHECK(Granted(GrantShares(ledger, "b", 1, 1, kStart)) == 0);
  CHECK(SharesInForce(ledger, kAccount, kStart) <= kGrantablePart);
}

TEST_CASE("A new granter renews what spenders have and grants nothing else",
          "[RateLimits]")
{
  Ledger ledger;
  BeginLedger(ledger, 1, kStart);
  NoteShareQuery(ledger, "a", 1, QueryOf(100, 9'000), kStart);
  CHECK(Granted(GrantShares(ledger, "a", 1, 1, kStart)) == 100);
  const Instant later = kStart + kShareDuration + kShareMargin;
  NoteShareQuery(ledger, "a", 2, QueryOf(100, 9'000), later);
  CHECK(Granted(GrantShares(ledger, "a", 2, 1, later)) > 100);
}

TEST_CASE("Only a spender's latest query is answered with shares",
          "[RateLimits]")
{
  Ledger ledger = CompleteLedger();
  NoteShareQuery(ledger, "a", 2, QueryOf(kGrantablePart, 9'000), kStart);
  // An overtaken query says that the spender has nothing.
  NoteShareQuery(ledger, "a", 1, QueryOf(0, 9'000), kStart);
  CHECK(SharesInForce(ledger, kAccount, kStart) == kGrantablePart);
  CHECK_FALSE(GrantShares(ledger, "a", 1, 1, kStart).has_value());
  CHECK(GrantShares(ledger, "a", 2, 1, kStart).has_value());
}

TEST_CASE("A share runs out, counted from the query", "[RateLimits]")
{
  Allowances allowances;
  auto terms = TermsAt(kStart);
  // The first request makes the account known.
  RequestTokens(allowances, kAccount, RequestAt(1, kStart), terms);
  const Instant askedAt = kStart + 1s;
  ApplyShares(
    allowances, { { { kAccount, kGrantablePart } } }, askedAt, kStart + 2s);
  RequestTokens(
    allowances, kAccount, RequestAt(2, kStart), TermsAt(kStart + 2s));
  const Instant last = askedAt + kShareDuration - 1us;
  auto outcome =
    RequestTokens(allowances, kAccount, RequestAt(3, last), TermsAt(last));
  REQUIRE(outcome.mDecisions.size() == 1);
  CHECK(outcome.mDecisions[0].mIsComplete);
  const Instant after = askedAt + kShareDuration;
  outcome =
    RequestTokens(allowances, kAccount, RequestAt(4, after), TermsAt(after));
  REQUIRE(outcome.mDecisions.size() == 1);
  CHECK_FALSE(outcome.mDecisions[0].mIsComplete);
  CHECK(outcome.mDecisions[0].mRetryAfter > 0ms);
}

TEST_CASE("Requests wait for one query of the source at a time", "[RateLimits]")
{
  Allowances allowances;
  auto terms = TermsAt(kStart);
  terms.mHasSource = true;
  auto outcome =
    RequestTokens(allowances, kAccount, RequestAt(1, kStart), terms);
  REQUIRE(outcome.mWanted.has_value());
  CHECK(outcome.mWanted->mCount == 1);
  const TokensWanted first = *outcome.mWanted;
  for (const std::uint64_t id : { 2U, 3U }) {
    outcome = RequestTokens(allowances, kAccount, RequestAt(id, kStart), terms);
    CHECK_FALSE(outcome.mWanted.has_value());
    CHECK(outcome.mDecisions.empty());
  }
  outcome =
    HandleTokens(allowances, kAccount, { first.mNumber, 1, 0ms }, terms);
  REQUIRE(outcome.mDecisions.size() == 1);
  CHECK(outcome.mDecisions[0].mId == 1);
  CHECK(outcome.mDecisions[0].mIsComplete);
  REQUIRE(outcome.mWanted.has_value());
  CHECK(outcome.mWanted->mCount == 2);
  // The answer to the first query comes again.
  CHECK(HandleTokens(allowances, kAccount, { first.mNumber, 1, 0ms }, terms)
          .mDecisions.empty());
  outcome = HandleTokens(
    allowances, kAccount, { outcome.mWanted->mNumber, 1, 700ms }, terms);
  REQUIRE(outcome.mDecisions.size() == 2);
  CHECK(outcome.mDecisions[0].mIsComplete);
  CHECK_FALSE(outcome.mDecisions[1].mIsComplete);
  CHECK(outcome.mDecisions[1].mRetryAfter >= 700ms);
  // The source has nothing, so that the next request is refused at once.
  outcome = RequestTokens(allowances, kAccount, RequestAt(4, kStart), terms);
  REQUIRE(outcome.mDecisions.size() == 1);
  CHECK_FALSE(outcome.mDecisions[0].mIsComplete);
}

TEST_CASE("A silent source is left alone for a while", "[RateLimits]")
{
  Allowances allowances;
  auto terms = TermsAt(kStart);
  terms.mHasSource = true;
  const auto asked =
    RequestTokens(allowances, kAccount, RequestAt(1, kStart), terms);
  REQUIRE(asked.mWanted.has_value());
  terms.mNow = kStart + kTokenTimeout;
  auto outcome = ExpireRequests(allowances, kAccount, terms);
  REQUIRE(outcome.mDecisions.size() == 1);
  CHECK_FALSE(outcome.mDecisions[0].mIsComplete);
  // The late answer is ignored.
  CHECK(HandleTokens(
          allowances, kAccount, { asked.mWanted->mNumber, 1, 0ms }, terms)
          .mDecisions.empty());
  outcome =
    RequestTokens(allowances, kAccount, RequestAt(2, terms.mNow), terms);
  CHECK(outcome.mDecisions.size() == 1);
  CHECK_FALSE(outcome.mWanted.has_value());
  terms.mNow += kSilentSourceDelay;
  outcome =
    RequestTokens(allowances, kAccount, RequestAt(3, terms.mNow), terms);
  CHECK(outcome.mWanted.has_value());
}

TEST_CASE("A new granter's reserve starts empty", "[RateLimits]")
{
  Allowances allowances;
  auto terms = TermsAt(kStart);
  terms.mGranter = GranterTerm{ 1, kStart + 4s };
  auto outcome =
    RequestTokens(allowances, kAccount, RequestAt(1, kStart), terms);
  CHECK_FALSE(outcome.mDecisions.at(0).mIsComplete);
  terms.mNow = kStart + 3s;
  outcome =
    RequestTokens(allowances, kAccount, RequestAt(2, terms.mNow), terms);
  CHECK(outcome.mDecisions.at(0).mIsComplete);
  // It takes the lease from another one, which has spent the reserve.
  terms.mGranter = GranterTerm{ 3, terms.mNow + 4s };
  outcome =
    RequestTokens(allowances, kAccount, RequestAt(3, terms.mNow), terms);
  CHECK_FALSE(outcome.mDecisions.at(0).mIsComplete);
}

TEST_CASE("Floors stay within the overage and the slack", "[RateLimits]")
{
  const LimitBounds bounds;
  for (const double rate : { 1.0, 10.0, 200.0 }) {
    for (const std::size_t dataCentres : { 1U, 3U, 6U, 12U, 60U }) {
      const RateLimit limit{ rate, rate };
      const Floor floor = FloorOf(limit, bounds, dataCentres);
      const double inWindow =
        floor.mSize + floor.mInitialTokens + floor.mPerSecond * 5;
      CHECK(inWindow * static_cast<double>(dataCentres) +
              ReserveSlack(bounds) <=
            OperationsInWindow(limit, bounds) * bounds.mOverage +
              bounds.mSlack + 1e-6);
    }
  }
}

TEST_CASE("A new first host waits until the former one has stopped",
          "[RateLimits]")
{
  FloorTerms former{ true, 9s, true, 100s };
  FloorTerms next{ true, 0s, false, 9s };
  CHECK(SpendsFloor(former));
  CHECK_FALSE(SpendsFloor(next));
  former.mListAge = 10'001ms;
  next.mListedFor = 11s;
  CHECK_FALSE(SpendsFloor(former));
  CHECK(SpendsFloor(next));
}
