#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "Common/Time.h"
#include "Gateway/Ids.h"
#include "Gateway/StoreRecord.h"

namespace camphorstep::gateway {

/// How far a table of the store is known.
struct TableProgress
{
  bool mKnown = false;
  std::uint64_t mVersion = 0;
  /// The call that is underway; none if there is none.
  CallId mCall;
  /// Whether the last call failed.
  bool mLost = false;
  /// Whether the next call reads all rows.
  bool mReread = false;
};

/// What the store says.
struct Catalogue
{
  std::array<TableProgress, kTableCount> mTables;
  std::uint64_t mRoutingVersion = 0;
  Duration mTransactionIdleTimeout{ 10'000'000 };
  std::unordered_map<std::string, Route> mRoutes;
  std::map<std::string, HostEntry> mHosts;
  /// The call that writes this host's entry.
  CallId mRegisterCall;
  bool mRegistered = false;
};

/// The lease on promotions, as this host knows it.
struct PromoterState
{
  PromoterLease mLease;
  /// The store's clock when the row was first seen at its version.
  Duration mSeenAt{ 0 };
  bool mSeen = false;
  /// The latest time of the store's clock, and when it was read.
  Duration mStoreTime{ 0 };
  Instant mStoreTimeReadAt;

  CallId mCall;
  Instant mCallSentAt;
  PromoterLease mClaimed;
  /// Until when this host may promote; in the past if it does not hold the
  /// lease.
  Instant mHeldUntil;
};

}
