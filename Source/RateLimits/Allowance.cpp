#include "RateLimits/Allowance.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Common/Hash.h"

namespace camphorstep::gateway {

namespace {

/// The time over which demand is averaged.
constexpr std::chrono::duration<double> kDemandSpan{ 3 };
/// Demand below this, in thousandths of an operation a second, is none.
constexpr std::uint32_t kLeastDemand = 5;
/// A source that has no tokens is asked again after this time at the latest.
constexpr Duration kMaxRefusedTime = 50ms;
/// Bounds of the time after which a caller over the limit is told to return,
/// and what is added for each time that demand exceeds the limit.
constexpr Duration kMinRetryAfter = 100ms;
constexpr Duration kMaxRetryAfter = 3s;
constexpr std::chrono::duration<double> kRetryAfterPerExcess = 500ms;

double
DemandPerSecond(const DemandMeter& aMeter, Instant aNow)
{
  const std::chrono::duration<double> age = aNow - aMeter.mCountedAt;
  return aMeter.mOperations * std::exp(-age / kDemandSpan) /
         kDemandSpan.count();
}

void
CountDemand(DemandMeter& aMeter, unsigned aCount, Instant aNow)
{
  aMeter.mOperations =
    DemandPerSecond(aMeter, aNow) * kDemandSpan.count() + aCount;
  aMeter.mCountedAt = aNow;
}

Floor
FloorOf(const AllowanceTerms& aTerms)
{
  return aTerms.mHasFloor
           ? FloorOf(aTerms.mLimit, aTerms.mBounds, aTerms.mDataCentres)
           : Floor{};
}

/// Takes up or gives up the granter's reserve as the lease goes. What another
/// granter may have spent since is lost.
void
UpdateReserve(Allowance& aAllowance,
              const Floor& aFloor,
              const AllowanceTerms& aTerms)
{
  const std::uint64_t token = aTerms.mGranter ? aTerms.mGranter->mToken : 0;
  if (aAllowance.mReserveToken != token) {
    aAllowance.mReserveToken = token;
    aAllowance.mShare = token == 0 ? 0 : kReservePart;
    Resize(aAllowance.mTokens, aFloor.mPerSecond, aFloor.mSize, aTerms.mNow);
  }
  if (aTerms.mGranter) {
    aAllowance.mShareUntil = aTerms.mGranter->mUntil;
  }
}

/// The part of a limit that a share is.
double
PartOf(Share aShare)
{
  return static_cast<double>(aShare) / static_cast<double>(kWholeLimit);
}

/// Brings an account's bucket up to date with the time, the limit and this
/// host's roles.
void
UpdateTokens(Allowance& aAllowance, const AllowanceTerms& aTerms)
{
  const Floor floor = FloorOf(aTerms);
  UpdateReserve(aAllowance, floor, aTerms);
  const bool isGranter = aAllowance.mReserveToken != 0;
  const bool hasShare = aTerms.mNow < aAllowance.mShareUntil;
  const double part = hasShare ? PartOf(aAllowance.mShare) : 0;
  const double slack = isGranter && hasShare ? ReserveSlack(aTerms.mBounds) : 0;
  aAllowance.mReservePerSecond =
    isGranter ? PartOf(kReservePart) * aTerms.mLimit.mPerSecond : 0;
  Resize(aAllowance.mTokens,
         part * aTerms.mLimit.mPerSecond + floor.mPerSecond,
         part * aTerms.mLimit.mBurst + slack + floor.mSize,
         aTerms.mNow);
}

Allowance&
AllowanceOf(Allowances& aAllowances,
            AccountId aAccount,
            const AllowanceTerms& aTerms)
{
  const auto [it, isNew] = aAllowances.mAccounts.try_emplace(aAccount);
  Allowance& allowance = it->second;
  if (isNew) {
    const Floor floor = FloorOf(aTerms);
    allowance.mTokens.mCountedUntil = aTerms.mNow;
    allowance.mTokens.mSize = floor.mSize;
    allowance.mTokens.mTokens = floor.mInitialTokens;
    allowance.mDemand.mCountedAt = aTerms.mNow;
  }
  UpdateTokens(allowance, aTerms);
  return allowance;
}

bool
CanQuerySource(const Allowances& aAllowances,
               const Allowance& aAllowance,
               const AllowanceTerms& aTerms)
{
  return aTerms.mHasSource && aTerms.mNow >= aAllowances.mSourceSilentUntil &&
         aTerms.mNow >= aAllowance.mRefusedUntil;
}

/// When a caller over the limit should return: when tokens have accrued, later
/// the more callers compete for them.
Duration
RetryAfterOf(const Allowance& aAllowance, const AllowanceTerms& aTerms)
{
  const double demand = DemandPerSecond(aAllowance.mDemand, aTerms.mNow);
  const double rate = std::max(aTerms.mLimit.mPerSecond, 1.0);
  const auto excess = std::chrono::duration_cast<Duration>(
    kRetryAfterPerExcess * std::max(demand / rate - 1, 0.0));
  const Duration token = TimeToToken(aAllowance.mTokens);
  const Duration own = std::min(token, kMaxRetryAfter) + excess;
  const Duration known =
    aTerms.mNow < aAllowance.mRefusedUntil ? aAllowance.mRetryAfter : own;
  return std::clamp(known, kMinRetryAfter, kMaxRetryAfter);
}

/// Spreads the returns of callers over half of the time that they wait.
Duration
Spread(Duration aRetryAfter, std::uint64_t aId, AccountId aAccount)
{
  const auto span = static_cast<std::uint64_t>(aRetryAfter.count()) / 2 + 1;
  const std::uint64_t added = HashPair(aId, aAccount.mValue) % span;
  return aRetryAfter + Duration(static_cast<Duration::rep>(added));
}

void
Decide(AllowanceOutcome& aOutcome,
       AccountId aAccount,
       const Allowance& aAllowance,
       const TokenRequest& aRequest,
       const AllowanceTerms& aTerms)
{
  TokenDecision decision;
  decision.mId = aRequest.mId;
  decision.mGranted = aRequest.mGranted;
  decision.mIsComplete = aRequest.mGranted >= aRequest.mCount;
  if (!decision.mIsComplete) {
    decision.mRetryAfter =
      Spread(RetryAfterOf(aAllowance, aTerms), aRequest.mId, aAccount);
  }
  aOutcome.mDecisions.push_back(decision);
}

/// Decides on all requests that wait, with the tokens that they have.
void
DecideAll(AllowanceOutcome& aOutcome,
          AccountId aAccount,
          Allowance& aAllowance,
          const AllowanceTerms& aTerms)
{
  for (TokenRequest& request : aAllowance.mWaiting) {
    request.mGranted +=
      Take(aAllowance.mTokens, request.mCount - request.mGranted);
    Decide(aOutcome, aAccount, aAllowance, request, aTerms);
  }
  aAllowance.mWaiting.clear();
}

/// Queries the source for what the waiting requests lack, one query at a time.
void
QueryTokens(Allowances& aAllowances,
            Allowance& aAllowance,
            AllowanceOutcome& aOutcome,
            Instant aNow)
{
  if (aAllowance.mWanted.mNumber != 0 || aAllowance.mWaiting.empty()) {
    return;
  }
  TokensWanted wanted;
  wanted.mNumber = ++aAllowances.mLastNumber;
  for (const TokenRequest& request : aAllowance.mWaiting) {
    wanted.mCount += request.mCount - request.mGranted;
  }
  aAllowance.mWanted = wanted;
  aAllowance.mWantedAt = aNow;
  aOutcome.mWanted = wanted;
}

/// Hands out the source's tokens in the order of arrival.
void
HandOut(AllowanceOutcome& aOutcome,
        AccountId aAccount,
        Allowance& aAllowance,
        unsigned aTokens,
        const AllowanceTerms& aTerms)
{
  unsigned left = aTokens;
  while (!aAllowance.mWaiting.empty()) {
    TokenRequest& request = aAllowance.mWaiting.front();
    const unsigned given = std::min(left, request.mCount - request.mGranted);
    request.mGranted += given;
    left -= given;
    if (request.mGranted < request.mCount) {
      return;
    }
    Decide(aOutcome, aAccount, aAllowance, request, aTerms);
    aAllowance.mWaiting.pop_front();
  }
}

}

AllowanceOutcome
RequestTokens(Allowances& aAllowances,
              AccountId aAccount,
              const TokenRequest& aRequest,
              const AllowanceTerms& aTerms)
{
  Allowance& allowance = AllowanceOf(aAllowances, aAccount, aTerms);
  CountDemand(allowance.mDemand, aRequest.mCount, aTerms.mNow);
  AllowanceOutcome outcome;
  TokenRequest request = aRequest;
  request.mGranted +=
    Take(allowance.mTokens, request.mCount - request.mGranted);
  const bool isComplete = request.mGranted >= request.mCount;
  if (isComplete || !CanQuerySource(aAllowances, allowance, aTerms)) {
    Decide(outcome, aAccount, allowance, request, aTerms);
    return outcome;
  }
  allowance.mWaiting.push_back(request);
  QueryTokens(aAllowances, allowance, outcome, aTerms.mNow);
  return outcome;
}

AllowanceOutcome
HandleTokens(Allowances& aAllowances,
             AccountId aAccount,
             const TokensGiven& aGiven,
             const AllowanceTerms& aTerms)
{
  AllowanceOutcome outcome;
  const auto it = aAllowances.mAccounts.find(aAccount);
  if (it == aAllowances.mAccounts.end() || aGiven.mNumber == 0 ||
      it->second.mWanted.mNumber != aGiven.mNumber) {
    return outcome;
  }
  Allowance& allowance = it->second;
  UpdateTokens(allowance, aTerms);
  const TokensWanted wanted = std::exchange(allowance.mWanted, {});
  const unsigned tokens = std::min(aGiven.mCount, wanted.mCount);
  HandOut(outcome, aAccount, allowance, tokens, aTerms);
  if (tokens < wanted.mCount) {
    allowance.mRetryAfter =
      std::clamp(aGiven.mRetryAfter, kMinRetryAfter, kMaxRetryAfter);
    allowance.mRefusedUntil = aTerms.mNow + kMaxRefusedTime;
    DecideAll(outcome, aAccount, allowance, aTerms);
  } else {
    QueryTokens(aAllowances, allowance, outcome, aTerms.mNow);
  }
  return outcome;
}

AllowanceOutcome
ExpireRequests(Allowances& aAllowances,
               AccountId aAccount,
               const AllowanceTerms& aTerms)
{
  AllowanceOutcome outcome;
  const auto it = aAllowances.mAccounts.find(aAccount);
  if (it == aAllowances.mAccounts.end()) {
    return outcome;
  }
  Allowance& allowance = it->second;
  const auto due = NextExpiry(allowance);
  if (!due || aTerms.mNow < *due) {
    return outcome;
  }
  UpdateTokens(allowance, aTerms);
  if (aTerms.mNow - allowance.mWantedAt >= kSilentSourceTimeout) {
    aAllowances.mSourceSilentUntil = aTerms.mNow + kSilentSourceDelay;
  }
  // The source's answer, should it still come, is ignored.
  allowance.mWanted = {};
  DecideAll(outcome, aAccount, allowance, aTerms);
  return outcome;
}

std::optional<Instant>
NextExpiry(const Allowance& aAllowance)
{
  std::optional<Instant> next;
  for (const TokenRequest& request : aAllowance.mWaiting) {
    next = next ? std::min(*next, request.mDeadline) : request.mDeadline;
  }
  return next;
}

ShareQuery
PresentShares(const Allowances& aAllowances,
              std::uint64_t aIncarnation,
              Instant aNow)
{
  ShareQuery query;
  query.mIncarnation = aIncarnation;
  for (const auto& [account, allowance] : aAllowances.mAccounts) {
    const bool hasShare =
      allowance.mReserveToken == 0 && aNow < allowance.mShareUntil;
    const double demand = std::max(DemandPerSecond(allowance.mDemand, aNow) -
                                     allowance.mReservePerSecond,
                                   0.0);
    ShareDemand entry;
    entry.mAccount = account;
    entry.mShare = hasShare ? allowance.mShare : 0;
    entry.mDemand = static_cast<std::uint32_t>(std::lround(demand * 1'000));
    if (entry.mShare > 0 || entry.mDemand >= kLeastDemand) {
      query.mDemands.push_back(entry);
    }
  }
  return query;
}

void
ApplyShares(Allowances& aAllowances,
            const ShareReport& aReport,
            Instant aAskedAt,
            Instant aNow)
{
  const Instant until = aAskedAt + kShareDuration;
  for (const ShareGrant& grant : aReport.mGrants) {
    const auto it = aAllowances.mAccounts.find(grant.mAccount);
    if (it == aAllowances.mAccounts.end() || it->second.mReserveToken != 0) {
      continue;
    }
    Allowance& allowance = it->second;
    if (allowance.mShareUntil <= aNow) {
      Empty(allowance.mTokens, aNow);
    } else {
      Refill(allowance.mTokens, aNow);
    }
    allowance.mShare = grant.mShare;
    allowance.mShareUntil = until;
  }
}

void
ApplyOwnShares(Allowances& aAllowances,
               const ShareReport& aReport,
               Instant aNow)
{
  for (auto& [account, allowance] : aAllowances.mAccounts) {
    if (allowance.mReserveToken != 0) {
      Refill(allowance.mTokens, aNow);
      allowance.mShare = kReservePart;
    }
  }
  for (const ShareGrant& grant : aReport.mGrants) {
    const auto it = aAllowances.mAccounts.find(grant.mAccount);
    if (it != aAllowances.mAccounts.end() && it->second.mReserveToken != 0) {
      it->second.mShare += grant.mShare;
    }
  }
}

}
