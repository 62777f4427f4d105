#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "RateLimits/Allowance.h"
#include "RateLimits/Floor.h"
#include "RateLimits/Ledger.h"

namespace camphorstep::ratelimits {

using namespace gateway;

/// How often messages between hosts are lost, repeated, or late.
struct Faults
{
  double mLost = 0;
  double mRepeated = 0;
  double mLate = 0;
  /// By how much a late message is late at most.
  Duration mMaxDelay{ 0 };
};

/// An account of the world: its limit, and how its callers ask.
struct TestAccount
{
  RateLimit mLimit;
  double mDemand = 0;
  /// How many data centres, of all, get its callers; the first ones.
  std::size_t mDataCentres = 0;
};

/// An operation that was passed on to a server.
struct PassedOperation
{
  Instant mReceivedAt;
  Instant mPassedAt;
};

/// What came of an account's operations.
struct AccountOutcome
{
  std::uint64_t mAsked = 0;
  std::uint64_t mRefused = 0;
  Duration mMaxWait{ 0 };
  std::vector<PassedOperation> mPassed;
  /// Each limit that any host has had, and until when one had it.
  std::vector<std::pair<RateLimit, std::optional<Instant>>> mLimits;
};

/// Hosts in virtual time, with a store that keeps the lease and the list of
/// hosts. All decisions on tokens are those of the product; the world carries
/// messages, loses them, and stops hosts.
class World
{
public:
  World(std::uint64_t aSeed,
        std::size_t aDataCentres,
        std::size_t aHostsPerDataCentre,
        std::vector<TestAccount> aAccounts);

  /// Runs until a time after the beginning.
  void RunUntil(Duration aTime);

  /// The host that holds the lease now; none while nobody does.
  std::optional<std::size_t> Granter() const;

  void Kill(std::size_t aHost, Duration aDowntime);
  void Freeze(std::size_t aHost, Duration aTime);
  /// Cuts a host off from the hosts and the store.
  void Cut(std::size_t aHost, Duration aTime);
  /// Cuts a host off from the store alone.
  void CutStore(std::size_t aHost, Duration aTime);
  void LosePower(Duration aTime);
  void StopStore(Duration aTime);
  void AddHost(std::size_t aDataCentre);
  /// Publishes a limit, which reaches each host within a time.
  void Publish(std::size_t aAccount, RateLimit aLimit, Duration aMaxDelay);

  std::size_t HostCount() const { return mHosts.size(); }
  Instant Now() const { return mNow; }

  /// Forgets the counts of operations so far, not what was passed on.
  void ForgetCounts();

  /// The first span of the window in which an account exceeded its bound.
  std::optional<std::string> FindBreach() const;

  Faults mFaults;
  LimitBounds mBounds;
  std::vector<TestAccount> mAccounts;
  std::vector<AccountOutcome> mOutcomes;

private:
  struct Operation
  {
    std::size_t mAccount;
    Instant mReceivedAt;
  };
  struct Tick
  {
    std::uint64_t mIncarnation;
  };
  struct Query
  {
    std::size_t mFrom;
    std::uint64_t mNumber;
    std::optional<ShareQuery> mShares;
  };
  struct Report
  {
    std::uint64_t mIncarnation;
    std::uint64_t mNumber;
    std::optional<ShareReport> mShares;
  };
  struct TokenQuery
  {
    std::size_t mFrom;
    std::uint64_t mIncarnation;
    AccountId mAccount;
    TokensWanted mWanted;
  };
  struct TokenReport
  {
    std::uint64_t mIncarnation;
    AccountId mAccount;
    TokensGiven mGiven;
  };
  using Body =
    std::variant<Operation, Tick, Query, Report, TokenQuery, TokenReport>;
  struct Event
  {
    std::size_t mHost;
    Body mBody;
  };
  struct Host
  {
    std::size_t mDataCentre = 0;
    std::uint64_t mRank = 0;
    bool mIsAlive = true;
    std::uint64_t mIncarnation = 0;
    bool mHadPlaceBefore = false;
    Instant mListedSince;
    Instant mFrozenUntil;
    Instant mCutUntil;
    Instant mStoreCutUntil;
    Duration mClockOffset{ 0 };

    Allowances mAllowances;
    Ledger mLedger;
    std::uint64_t mOwnQueries = 0;
    std::vector<RateLimit> mLimits;
    /// The list of hosts that it has, and when it read it.
    std::vector<std::size_t> mList;
    std::optional<Instant> mListReadAt;
    /// The lease as it last read it.
    std::optional<std::size_t> mKnownHolder;
    Instant mHeldUntil;
    std::uint64_t mLeaseToken = 0;
    Instant mRenewedAt;
    /// Its source and the query that has no answer.
    std::optional<std::size_t> mSource;
    std::uint64_t mLastQuery = 0;
    bool mIsQueryPending = false;
    Instant mAskedAt;
    Instant mSharesAskedAt;
    std::map<std::size_t, Instant> mSilentUntil;
    /// Operations and queries that wait for tokens, by their ids.
    std::map<std::uint64_t, Operation> mOperations;
    std::map<std::uint64_t, TokenQuery> mQueries;
    /// Limits that are on their way.
    std::vector<std::tuple<Instant, std::size_t, RateLimit>> mPublished;
  };

  bool Chance(double aPart);
  Duration RandomDuration(Duration aMax);
  Instant LocalNow(const Host& aHost) const
  {
    return mNow + aHost.mClockOffset;
  }
  bool IsStoreReachable(const Host& aHost) const;
  Duration Delay(const Host& aFrom, const Host& aTo);
  void Push(Instant aAt, std::size_t aHost, Body aBody);
  void Send(std::size_t aFrom, std::size_t aTo, Body aBody);
  void ScheduleOperation(std::size_t aAccount);
  void StartProcess(std::size_t aHost);

  void Handle(std::size_t aHost, const Operation& aOperation);
  void Handle(std::size_t aHost, const Tick& aTick);
  void Handle(std::size_t aHost, const Query& aQuery);
  void Handle(std::size_t aHost, const Report& aReport);
  void Handle(std::size_t aHost, const TokenQuery& aQuery);
  void Handle(std::size_t aHost, const TokenReport& aReport);

  void TakeLimits(std::size_t aHost);
  void MaintainLease(std::size_t aHost);
  void RefreshOwnShares(std::size_t aHost);
  void ChooseSource(std::size_t aHost);
  void QuerySource(std::size_t aHost);
  bool IsGranter(const Host& aHost) const;
  AllowanceTerms Terms(std::size_t aHost, std::size_t aAccount) const;
  void Apply(std::size_t aHost,
             std::size_t aAccount,
             const AllowanceOutcome& aOutcome);
  void Pass(const Operation& aOperation);

  std::mt19937_64 mRandom;
  Instant mNow;
  Instant mStart;
  std::uint64_t mSequence = 0;
  /// In the order of their times, then of their making.
  std::map<std::pair<Instant, std::uint64_t>, Event> mEvents;
  std::size_t mDataCentres;
  std::vector<Host> mHosts;
  // The store.
  Instant mStoreDownUntil;
  std::optional<std::size_t> mHolder;
  std::uint64_t mToken = 0;
  Instant mLeaseEnd;
  std::vector<std::size_t> mListed;
};

}
