#include "RateLimits/Ledger.h"

#include <algorithm>

namespace camphorstep::gateway {

namespace {

/// The part of what can be granted that is divided evenly among the spenders,
/// as one in this many, so that a spender whose callers have just begun has
/// something. The rest is divided by demand.
constexpr std::uint64_t kEvenPartDivisor = 5;

Share
MostInForce(const SpenderShare& aShare)
{
  return std::max(aShare.mPresented, aShare.mGranted);
}

/// The shares and the demand of an account at all spenders but one.
struct OthersUse
{
  std::uint64_t mSpenders = 0;
  std::uint64_t mShares = 0;
  std::uint64_t mDemand = 0;
};

OthersUse
UseOfOthers(const Ledger& aLedger,
            const Spender& aSpender,
            AccountId aAccount,
            Instant aNow)
{
  OthersUse use;
  for (const auto& [id, other] : aLedger.mSpenders) {
    if (&other == &aSpender || aNow >= other.mUntil) {
      continue;
    }
    ++use.mSpenders;
    const auto it = other.mShares.find(aAccount);
    if (it != other.mShares.end()) {
      use.mShares += MostInForce(it->second);
      use.mDemand += it->second.mDemand;
    }
  }
  return use;
}

/// The share that a spender should have, by its part of the demand.
Share
FairShare(const OthersUse& aOthers, std::uint32_t aDemand)
{
  const std::uint64_t spenders = aOthers.mSpenders + 1;
  const std::uint64_t demand = aOthers.mDemand + aDemand;
  const std::uint64_t even = kGrantablePart / kEvenPartDivisor;
  const std::uint64_t byDemand = kGrantablePart - even;
  const std::uint64_t part =
    demand == 0 ? byDemand / spenders : byDemand * aDemand / demand;
  return static_cast<Share>(even / spenders + part);
}

Share
ShareToGrant(const Ledger& aLedger,
             const Spender& aSpender,
             AccountId aAccount,
             const SpenderShare& aShare,
             Instant aNow)
{
  const OthersUse others = UseOfOthers(aLedger, aSpender, aAccount, aNow);
  const std::uint64_t room =
    kGrantablePart - std::min<std::uint64_t>(others.mShares, kGrantablePart);
  const Share wanted = aNow < aLedger.mRecoversUntil
                         ? aShare.mPresented
                         : FairShare(others, aShare.mDemand);
  return static_cast<Share>(std::min<std::uint64_t>(wanted, room));
}

void
RemoveExpiredSpenders(Ledger& aLedger, Instant aNow)
{
  std::erase_if(aLedger.mSpenders, [aNow](const auto& aEntry) {
    return aEntry.second.mUntil <= aNow;
  });
}

}

void
BeginLedger(Ledger& aLedger, std::uint64_t aToken, Instant aNow)
{
  aLedger = Ledger{};
  aLedger.mToken = aToken;
  aLedger.mRecoversUntil = aNow + kShareDuration + kShareMargin;
}

void
NoteShareQuery(Ledger& aLedger,
               const std::string& aHost,
               std::uint64_t aNumber,
               const ShareQuery& aQuery,
               Instant aNow)
{
  RemoveExpiredSpenders(aLedger, aNow);
  const SpenderId id{ aHost, aQuery.mIncarnation };
  Spender& spender = aLedger.mSpenders[id];
  if (aNumber <= spender.mLastQuery) {
    return;
  }
  spender.mLastQuery = aNumber;
  spender.mUntil = aNow + kShareDuration + kShareMargin;
  spender.mShares.clear();
  for (const ShareDemand& demand : aQuery.mDemands) {
    spender.mShares[demand.mAccount] = { demand.mShare, 0, demand.mDemand };
  }
}

std::optional<ShareReport>
GrantShares(Ledger& aLedger,
            const std::string& aHost,
            std::uint64_t aNumber,
            std::uint64_t aIncarnation,
            Instant aNow)
{
  const auto it = aLedger.mSpenders.find({ aHost, aIncarnation });
  if (it == aLedger.mSpenders.end() || it->second.mLastQuery != aNumber) {
    return std::nullopt;
  }
  Spender& spender = it->second;
  spender.mUntil = aNow + kShareDuration + kShareMargin;
  ShareReport report;
  for (auto& [account, share] : spender.mShares) {
    const Share granted = ShareToGrant(aLedger, spender, account, share, aNow);
    share.mGranted = std::max(share.mGranted, granted);
    report.mGrants.push_back({ account, granted });
  }
  return report;
}

Share
SharesInForce(const Ledger& aLedger, AccountId aAccount, Instant aNow)
{
  std::uint64_t sum = 0;
  for (const auto& [id, spender] : aLedger.mSpenders) {
    const auto it = spender.mShares.find(aAccount);
    if (aNow < spender.mUntil && it != spender.mShares.end()) {
      sum += MostInForce(it->second);
    }
  }
  return static_cast<Share>(sum);
}

}
