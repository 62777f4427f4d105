#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "Accounts/AccountTable.h"
#include "Common/Time.h"
#include "Gateway/Ids.h"
#include "Gateway/StoreRecord.h"

namespace camphorstep::gateway {

/// How far a table of the store is known.
struct TableProgress
{
  bool mKnown = false;
  StoreVersion mVersion = 0;
  /// The version with which the usable rows last changed.
  StoreVersion mContentVersion = 0;
  /// A time at which the store had nothing newer.
  Instant mConfirmedAt;
  /// The call that is underway, and when it was made; none if there is none.
  CallId mCall;
  Instant mCalledAt;
  /// The pages of a whole read that have come so far.
  std::optional<TableAnswer> mPages;
  /// Calls in a row that have failed, and when the last of them was made.
  std::uint32_t mFailures = 0;
  Instant mFailedCallAt;
  /// Whether the next call reads all rows.
  bool mReread = false;
  /// Whether the store is to be called at once, although another host reports
  /// this table.
  bool mIsConfirmationNeeded = false;
};

/// The retired terms of all groups, as far as this host knows them; see
/// Group/RetiredTerms.h.
struct RetiredTerms
{
  /// The newest retired term of each group that has one, by the group's name.
  std::map<std::string, Term> mTerms;
  /// The version of the fleet table up to which they are complete.
  StoreVersion mVersion = 0;
  /// A time at which the store had no record of another one.
  Instant mConfirmedAt;
  /// Until when reports to other hosts name them.
  Instant mReportedUntil;
};

/// What the store says.
struct Catalogue
{
  /// When the last call to the store was made that failed.
  Instant mFailedCallAt;
  std::array<TableProgress, kTableCount> mTables;
  std::uint64_t mRoutingVersion = 0;
  Duration mTransactionIdleTimeout{ 10'000'000 };
  std::unordered_map<std::string, Route> mRoutes;
  /// The client accounts; none if the deployment has none.
  std::optional<AccountTable> mAccounts;
  /// Whether callers with a key are refused because the operator's table has
  /// not been confirmed for too long.
  bool mIsOutOfDate = false;
  std::map<std::string, HostEntry> mHosts;
  /// The call that writes this host's entry.
  CallId mRegisterCall;
  bool mRegistered = false;
  /// The store's version that it got.
  StoreVersion mRegisteredVersion = 0;
  RetiredTerms mRetiredTerms;
};

/// The lease on promotions, as this host knows it.
struct PromoterState
{
  PromoterLease mLease;
  /// The store's clock when the row was first seen at its version.
  Duration mSeenAt{ 0 };
  bool mIsKnown = false;
  /// The latest time of the store's clock, and when it was read; never at
  /// first.
  Duration mStoreTime{ 0 };
  std::optional<Instant> mStoreTimeReadAt;

  CallId mCall;
  Instant mCallSentAt;
  PromoterLease mWrittenLease;
  /// When the first write was sent that mWrittenLease.mRowVersion was the
  /// condition of. If the row is found to be this host's, any of them may be
  /// the one that took effect.
  Instant mWrittenLeaseAt;
  /// Until when this host may promote; in the past if it does not hold the
  /// lease.
  Instant mHeldUntil;
  /// The token with which this host last took the lease from another one, and
  /// when it learned of that. No other host has held the lease since.
  std::uint64_t mFirstToken = 0;
  Instant mHeldSince;
  /// The records of the groups in the store, by group.
  std::map<std::string, GroupRecord> mStoredRecords;
  /// Whether they have been read since this host last took the lease from
  /// another one. Until then it replaces no primary.
  bool mHasReadRecords = false;
  /// The records in the write that is underway.
  std::vector<GroupRecord> mWrittenRecords;
};

}
