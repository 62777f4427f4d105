#pragma once

#include <array>
#include <cstdint>

#include "Common/NamedEnum.h"
#include "Model/Profile.h"
#include "Reducer/LatencyHistogram.h"

namespace camphorstep::gateway {

/// Statement counters of one rank.
struct StatementCounters
{
  std::uint64_t mServed = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mFailed = 0;
  /// Time from arrival to answer of the statements that were served.
  LatencyHistogram mLatency;
};

/// Counters of the limits of client accounts.
struct RateLimitCounters
{
  /// Operations that got a token, and those that were refused.
  std::uint64_t mAllowed = 0;
  std::uint64_t mRefused = 0;
  /// Tokens given to other hosts.
  std::uint64_t mGiven = 0;
};

/// Statements of sessions that were passed on whose owner was lost.
struct RelayInterruptions
{
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
};

/// Callers that were refused for their key.
struct RefusalCounters
{
  /// No account has the key.
  std::uint64_t mUnknownKey = 0;
  /// The key belongs to another account than when the operation began.
  std::uint64_t mOtherAccount = 0;
  /// The configuration was out of date.
  std::uint64_t mOutOfDate = 0;
};

/// Why a host calls the platform's store for a table.
enum class StoreCallReason : std::uint8_t
{
  /// It has no rows of the table, or has to read all of them again.
  WholeTable,
  /// The last call failed.
  Retry,
  /// A decision needs the newest rows.
  Demanded,
  /// It holds the promoter's lease.
  Promoter,
  /// It has no source of reports.
  NoSource,
  /// Its source has left a query unanswered.
  SourceLate,
  /// What its source reports was confirmed too long ago.
  Unconfirmed,
};

constexpr std::array kStoreCallReasonNames{
  EnumName<StoreCallReason>{ StoreCallReason::WholeTable, "whole table" },
  EnumName<StoreCallReason>{ StoreCallReason::Retry, "retry" },
  EnumName<StoreCallReason>{ StoreCallReason::Demanded, "demanded" },
  EnumName<StoreCallReason>{ StoreCallReason::Promoter, "promoter" },
  EnumName<StoreCallReason>{ StoreCallReason::NoSource, "no source" },
  EnumName<StoreCallReason>{ StoreCallReason::SourceLate, "source late" },
  EnumName<StoreCallReason>{ StoreCallReason::Unconfirmed, "unconfirmed" },
};

/// Monotonic counters, exported as metrics.
struct Counters
{
  std::array<StatementCounters, kRankCount> mRanks;
  std::uint64_t mSessions = 0;
  std::uint64_t mReplicaReads = 0;
  std::uint64_t mPrimaryReads = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mLinksOpened = 0;
  std::uint64_t mLinksLost = 0;
  std::uint64_t mStatusRequests = 0;
  /// Connections for status requests that were opened, and those that were
  /// given up for silence.
  std::uint64_t mControlLinksOpened = 0;
  std::uint64_t mControlLinksSilent = 0;
  std::uint64_t mPromotions = 0;
  /// Orders to promote a server that were given to the platform.
  std::uint64_t mPromotionOrders = 0;
  /// Those that were given up without a clear answer. Such an order may have
  /// taken effect.
  std::uint64_t mOrdersUnanswered = 0;
  /// Takeovers that paused all servers again because one was not paused.
  std::uint64_t mTakeoverRestarts = 0;
  /// Commits that a server acknowledged in a term that had ended.
  std::uint64_t mCommitsOfEndedTerm = 0;
  /// Commits that a server acknowledged without evidence that it was still the
  /// primary.
  std::uint64_t mCommitsUnproved = 0;
  std::uint64_t mStoreCalls = 0;
  /// Calls for tables, by reason, and the bytes of their answers.
  std::array<std::uint64_t, kStoreCallReasonNames.size()> mTableCalls{};
  std::uint64_t mTableBytes = 0;
  RateLimitCounters mRateLimits;
  /// Sessions passed on to owners, and those that others have passed on here.
  std::uint64_t mSessionsRelayed = 0;
  std::uint64_t mSessionsTakenOver = 0;
  std::uint64_t mStatementsRelayed = 0;
  RelayInterruptions mRelayInterruptions;
  /// Sessions that ran here because their owner did not open them.
  std::uint64_t mRelayFallbacks = 0;
  std::uint64_t mOwnersPassedOver = 0;
  RefusalCounters mRefusedSessions;
  RefusalCounters mRefusedStatements;
  /// Idle connections that were closed so that another client account could
  /// open one.
  std::uint64_t mLinksClosedForOthers = 0;
};

}
