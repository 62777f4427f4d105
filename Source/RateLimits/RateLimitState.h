#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "Gateway/Ids.h"
#include "Gateway/PeerMessage.h"
#include "RateLimits/Allowance.h"
#include "RateLimits/Ledger.h"

namespace camphorstep::gateway {

/// Another host's query for tokens that waits for this host's source.
struct TokenQueryWaiting
{
  PeerLinkId mLink;
  std::uint64_t mNumber = 0;
};

/// A client account that has a limit.
struct LimitedAccount
{
  std::string mName;
  RateLimit mLimit;
};

/// The limits of client accounts, as this host takes part in them.
struct RateLimitState
{
  LimitBounds mBounds;
  /// The accounts of the configuration in force that have a limit.
  std::unordered_map<AccountId, LimitedAccount> mAccounts;
  Allowances mAllowances;
  /// Kept while this host is the granter, and until another one was.
  Ledger mLedger;
  /// The last query for shares, and when it was sent.
  std::uint64_t mLastShareQuery = 0;
  Instant mSharesAskedAt;
  bool mIsShareQueryPending = false;
  /// What waits for tokens, by the number of its request.
  std::unordered_map<std::uint64_t, SessionId> mSessions;
  std::unordered_map<std::uint64_t, TokenQueryWaiting> mQueries;
  /// Whether this host is the first of its data centre, by its list of hosts.
  bool mIsFirst = false;
  /// Whether the store had an entry of an earlier process of this host, in the
  /// same place of its data centre's order.
  bool mHadPlaceBefore = false;
  /// Since when this process's entry is in the store.
  std::optional<Instant> mListedSince;
};

}
