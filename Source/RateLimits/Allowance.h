#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "RateLimits/Limit.h"
#include "RateLimits/Share.h"
#include "RateLimits/TokenBucket.h"

namespace camphorstep::gateway {

/// How long an operation may wait for its token. It is a few round trips
/// between regions.
constexpr Duration kTokenTimeout = 250ms;
/// How much shorter a host lets another host's query wait than its own
/// operations, so that its answer is in time.
constexpr Duration kTokenTimeoutPerHop = 50ms;
/// A source that left a query for tokens unanswered for the first time is not
/// queried for the second; operations over the host's own share are refused at
/// once.
constexpr Duration kSilentSourceTimeout = 150ms;
constexpr Duration kSilentSourceDelay = 250ms;

/// This host's time as the granter: since which token of the lease, and until
/// when.
struct GranterTerm
{
  std::uint64_t mToken = 0;
  Instant mUntil;
};

/// What a host's decision on an account's operations depends on.
struct AllowanceTerms
{
  Instant mNow;
  RateLimit mLimit;
  LimitBounds mBounds;
  std::size_t mDataCentres = 1;
  /// Whether this host spends its data centre's floor.
  bool mHasFloor = false;
  std::optional<GranterTerm> mGranter;
  /// Whether there is a host to query for tokens.
  bool mHasSource = false;
};

/// An operation of this host, or a query of another host, that needs tokens.
struct TokenRequest
{
  /// Identifies it to the caller of this module.
  std::uint64_t mId = 0;
  unsigned mCount = 1;
  unsigned mGranted = 0;
  Instant mDeadline;
};

/// The decision on a request: how many of its tokens it gets, and when to come
/// back for the others.
struct TokenDecision
{
  std::uint64_t mId = 0;
  unsigned mGranted = 0;
  bool mIsComplete = false;
  Duration mRetryAfter{ 0 };
};

/// A query for tokens to the source.
struct TokensWanted
{
  std::uint64_t mNumber = 0;
  unsigned mCount = 0;
};

/// The source's answer to a query for tokens.
struct TokensGiven
{
  std::uint64_t mNumber = 0;
  unsigned mCount = 0;
  /// When more may be had.
  Duration mRetryAfter{ 0 };
};

/// What follows from a request, an answer or the passing of time.
struct AllowanceOutcome
{
  std::vector<TokenDecision> mDecisions;
  std::optional<TokensWanted> mWanted;
};

/// The rate at which operations are asked for, as an average that forgets.
struct DemandMeter
{
  double mOperations = 0;
  Instant mCountedAt;
};

/// What a host may spend of an account's limit, and what waits for it.
struct Allowance
{
  /// Filled by the share, or by the reserve on the granter, and by the floor
  /// together: parts of an operation add up.
  TokenBucket mTokens;
  Share mShare = 0;
  Instant mShareUntil;
  /// The lease's token under which the share is the granter's reserve; zero
  /// while it is not.
  std::uint64_t mReserveToken = 0;
  /// The rate of the reserve; zero without it.
  double mReservePerSecond = 0;
  DemandMeter mDemand;
  std::deque<TokenRequest> mWaiting;
  /// The query for tokens that has no answer yet; its number is zero if there
  /// is none.
  TokensWanted mWanted;
  Instant mWantedAt;
  /// The source has said that it has no tokens until then.
  Instant mRefusedUntil;
  Duration mRetryAfter{ 0 };
};

/// What a host may spend of all accounts' limits.
struct Allowances
{
  std::map<AccountId, Allowance> mAccounts;
  /// Queries for tokens sent so far.
  std::uint64_t mLastNumber = 0;
  /// The source has not answered and is left alone until then.
  Instant mSourceSilentUntil;
};

/// Has a request take tokens from this host's own buckets, or wait for the
/// source's.
///
/// The load that it answers: an account's callers reach many hosts, each of
/// them seldom. So hosts hold no tokens in advance, and ask for one when an
/// operation has arrived; requests that arrive during a query go into the next
/// one. Over the limit, requests are refused at once while the source is known
/// to have nothing.
AllowanceOutcome RequestTokens(Allowances& aAllowances,
                               AccountId aAccount,
                               const TokenRequest& aRequest,
                               const AllowanceTerms& aTerms);

/// Hands the source's tokens to the requests that wait. Ignores an answer to an
/// earlier query.
AllowanceOutcome HandleTokens(Allowances& aAllowances,
                              AccountId aAccount,
                              const TokensGiven& aGiven,
                              const AllowanceTerms& aTerms);

/// Decides on the requests that have waited for too long.
AllowanceOutcome ExpireRequests(Allowances& aAllowances,
                                AccountId aAccount,
                                const AllowanceTerms& aTerms);

/// When requests have waited for too long; none if none waits.
std::optional<Instant> NextExpiry(const Allowance& aAllowance);

/// A host's query for shares: those that it has, and its demand. The granter's
/// reserve is no share; its demand is what goes beyond it.
ShareQuery PresentShares(const Allowances& aAllowances,
                         std::uint64_t aIncarnation,
                         Instant aNow);

/// Takes the shares that the granter reports in answer to a query sent at a
/// time.
void ApplyShares(Allowances& aAllowances,
                 const ShareReport& aReport,
                 Instant aAskedAt,
                 Instant aNow);

/// Adds shares to the granter's own reserve; accounts that are not named have
/// the reserve alone.
void ApplyOwnShares(Allowances& aAllowances,
                    const ShareReport& aReport,
                    Instant aNow);

}
