#include "Entry/RetryBudget.h"

#include <algorithm>

#include "Common/Hash.h"

namespace camphorstep {

namespace {

/// Initial and maximum number of retries in a service's budget.
constexpr double kMaxRetryBudget = 10.0;
constexpr double kPercent = 100.0;
constexpr std::uint32_t kMaxDoublings = 10;
constexpr std::uint64_t kJitterSteps = 1'000;

}

bool
CostsRetryBudget(ResultCode aReason)
{
  switch (aReason) {
    case ResultCode::ConnectionLost:
    case ResultCode::HostUnreachable:
    case ResultCode::LeaseExpired:
      return true;
    default:
      return false;
  }
}

void
EarnRetryBudget(EntryState& aEntry, const PendingRequest& aPending)
{
  double& budget =
    aEntry.mRetryBudgets.try_emplace(aPending.mCaller.mService, kMaxRetryBudget)
      .first->second;
  budget =
    std::min(kMaxRetryBudget,
             budget + aPending.mProfile.mRetry.mBudgetPercent / kPercent);
}

bool
HasRetryBudget(const EntryState& aEntry, const PendingRequest& aPending)
{
  const auto it = aEntry.mRetryBudgets.find(aPending.mCaller.mService);
  return it != aEntry.mRetryBudgets.end() && it->second >= 1;
}

void
SpendRetryBudget(EntryState& aEntry, const PendingRequest& aPending)
{
  aEntry.mRetryBudgets[aPending.mCaller.mService] -= 1;
}

Duration
RetryDelay(RequestId aId, const PendingRequest& aPending)
{
  const RetryRules& rules = aPending.mProfile.mRetry;
  const std::uint32_t doublings =
    std::min(std::max(aPending.mAttempts, 1U) - 1, kMaxDoublings);
  const Duration delay =
    std::min(rules.mMaxDelay, rules.mInitialDelay * (1U << doublings));
  const std::uint64_t hash =
    HashPair(HashPair(aId.mIncarnation, aId.mSequence), aPending.mAttempts);
  const auto step = static_cast<std::int64_t>(hash % kJitterSteps);
  return delay / 2 + delay / 2 * step / static_cast<std::int64_t>(kJitterSteps);
}

}
