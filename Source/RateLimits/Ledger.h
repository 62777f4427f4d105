#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "RateLimits/Share.h"

namespace camphorstep::gateway {

/// A spender's share of one account. It may use the larger of the two, since it
/// is not known whether the report with the granted one has reached it.
struct SpenderShare
{
  /// What it had when it sent its last query.
  Share mPresented = 0;
  /// What it was granted since.
  Share mGranted = 0;
  std::uint32_t mDemand = 0;
};

/// What the granter knows of a process that spends shares.
struct Spender
{
  std::uint64_t mLastQuery = 0;
  /// When its shares have run out for certain.
  Instant mUntil;
  std::map<AccountId, SpenderShare> mShares;
};

/// Names a process that spends shares. What an earlier process of a host was
/// granted counts until it runs out: a late query of it may come after those of
/// its successor, so the order of the two is not known.
struct SpenderId
{
  std::string mHost;
  std::uint64_t mIncarnation = 0;

  auto operator<=>(const SpenderId&) const = default;
};

/// The shares that the granter has handed out. Those in force never exceed
/// kGrantablePart of an account's limit.
struct Ledger
{
  /// The lease's token under which it was begun; zero if it never was.
  std::uint64_t mToken = 0;
  /// Until then shares of an earlier granter may be in force that this one does
  /// not know. It renews what spenders present, and grants nothing else.
  Instant mRecoversUntil;
  std::map<SpenderId, Spender> mSpenders;
};

/// Begins the ledger of a granter that has taken the lease from another one.
void BeginLedger(Ledger& aLedger, std::uint64_t aToken, Instant aNow);

/// Notes what a spender has and needs. Ignores a query that was overtaken by a
/// later one.
void NoteShareQuery(Ledger& aLedger,
                    const std::string& aHost,
                    std::uint64_t aNumber,
                    const ShareQuery& aQuery,
                    Instant aNow);

/// Grants a spender's shares in answer to its query: by demand, as far as the
/// shares that others may have leave room. Returns nothing if the spender has
/// sent a later query.
std::optional<ShareReport> GrantShares(Ledger& aLedger,
                                       const std::string& aHost,
                                       std::uint64_t aNumber,
                                       std::uint64_t aIncarnation,
                                       Instant aNow);

/// The sum of the shares of an account that may be in force.
Share SharesInForce(const Ledger& aLedger, AccountId aAccount, Instant aNow);

}
