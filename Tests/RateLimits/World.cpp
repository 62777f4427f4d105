#include "RateLimits/World.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace camphorstep::ratelimits {

namespace {

constexpr Duration kTickInterval = 20ms;
constexpr Duration kQueryInterval = 250ms;
constexpr Duration kQueryTimeout = 450ms;
constexpr Duration kShareInterval = 1s;
constexpr Duration kSilenceTime = 2s;
constexpr Duration kListInterval = 3s;
constexpr Duration kLeaseDuration = 5s;
constexpr Duration kLeaseMargin = 700ms;
constexpr Duration kLeaseRenewal = 1'700ms;
constexpr Duration kRelayedTimeout = kTokenTimeout - kTokenTimeoutPerHop;
constexpr Duration kNearDelay = 100us;
constexpr Duration kFarDelay = 12ms;
constexpr Duration kRegionDelay = 1'400us;

/// Fractions of tokens are added up in floating point.
constexpr double kRounding = 1e-6;

AccountId
IdOfAccount(std::size_t aAccount)
{
  return AccountId{ aAccount + 1 };
}

std::size_t
AccountOfId(AccountId aId)
{
  return static_cast<std::size_t>(aId.mValue) - 1;
}

}

World::World(std::uint64_t aSeed,
             std::size_t aDataCentres,
             std::size_t aHostsPerDataCentre,
             std::vector<TestAccount> aAccounts)
  : mAccounts(std::move(aAccounts))
  , mOutcomes(mAccounts.size())
  , mRandom(aSeed)
  , mNow(std::chrono::hours(1))
  , mStart(mNow)
  , mDataCentres(aDataCentres)
{
  for (std::size_t n = 0; n < mAccounts.size(); ++n) {
    mOutcomes[n].mLimits.emplace_back(mAccounts[n].mLimit, std::nullopt);
    ScheduleOperation(n);
  }
  for (std::size_t n = 0; n < aDataCentres * aHostsPerDataCentre; ++n) {
    AddHost(n % aDataCentres);
    mHosts.back().mHadPlaceBefore = true;
  }
}

bool
World::Chance(double aPart)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aPart;
}

Duration
World::RandomDuration(Duration aMax)
{
  return Duration(
    std::uniform_int_distribution<Duration::rep>(0, aMax.count())(mRandom));
}

bool
World::IsStoreReachable(const Host& aHost) const
{
  return mNow >= mStoreDownUntil && mNow >= aHost.mCutUntil &&
         mNow >= aHost.mStoreCutUntil;
}

Duration
World::Delay(const Host& aFrom, const Host& aTo)
{
  // Half of the data centres are in either region.
  const auto region = [this](const Host& aHost) {
    return aHost.mDataCentre * 2 / mDataCentres;
  };
  Duration delay = kFarDelay;
  if (aFrom.mDataCentre == aTo.mDataCentre) {
    delay = kNearDelay;
  } else if (region(aFrom) == region(aTo)) {
    delay = kRegionDelay;
  }
  if (Chance(mFaults.mLate)) {
    delay += RandomDuration(mFaults.mMaxDelay);
  }
  return delay + RandomDuration(delay / 4);
}

void
World::Push(Instant aAt, std::size_t aHost, Body aBody)
{
  mEvents.emplace(std::pair(aAt, ++mSequence),
                  Event{ aHost, std::move(aBody) });
}

void
World::Send(std::size_t aFrom, std::size_t aTo, Body aBody)
{
  const Host& from = mHosts[aFrom];
  const Host& to = mHosts[aTo];
  if (mNow < from.mCutUntil || mNow < to.mCutUntil || Chance(mFaults.mLost)) {
    return;
  }
  if (Chance(mFaults.mRepeated)) {
    Push(mNow + Delay(from, to), aTo, aBody);
  }
  Push(mNow + Delay(from, to), aTo, std::move(aBody));
}

void
World::ScheduleOperation(std::size_t aAccount)
{
  const TestAccount& account = mAccounts[aAccount];
  if (account.mDemand <= 0) {
    Push(mNow + 100ms, 0, Operation{ aAccount, Instant{} });
    return;
  }
  const double seconds =
    std::exponential_distribution<double>(account.mDemand)(mRandom);
  const Instant at =
    mNow + std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(std::min(seconds, 100.0)));
  Push(at, 0, Operation{ aAccount, at });
}

void
World::StartProcess(std::size_t aHost)
{
  Host& host = mHosts[aHost];
  Host fresh;
  fresh.mDataCentre = host.mDataCentre;
  fresh.mRank = host.mRank;
  fresh.mIncarnation = host.mIncarnation + 1;
  fresh.mHadPlaceBefore = host.mHadPlaceBefore || host.mIncarnation > 0;
  fresh.mListedSince = host.mListedSince;
  fresh.mCutUntil = host.mCutUntil;
  fresh.mStoreCutUntil = host.mStoreCutUntil;
  fresh.mClockOffset = RandomDuration(1000s);
  for (const AccountOutcome& outcome : mOutcomes) {
    fresh.mLimits.push_back(outcome.mLimits.back().first);
  }
  host = std::move(fresh);
  Push(mNow + RandomDuration(kTickInterval), aHost, Tick{ host.mIncarnation });
}

void
World::AddHost(std::size_t aDataCentre)
{
  Host host;
  host.mDataCentre = aDataCentre;
  host.mRank = mRandom();
  host.mListedSince = mNow;
  mHosts.push_back(std::move(host));
  mListed.push_back(mHosts.size() - 1);
  StartProcess(mHosts.size() - 1);
}

void
World::Kill(std::size_t aHost, Duration aDowntime)
{
  if (!mHosts[aHost].mIsAlive) {
    return;
  }
  mHosts[aHost].mIsAlive = false;
  // A tick of no process starts the next one.
  Push(mNow + aDowntime, aHost, Tick{ 0 });
}

void
World::Freeze(std::size_t aHost, Duration aTime)
{
  mHosts[aHost].mFrozenUntil = mNow + aTime;
}

void
World::Cut(std::size_t aHost, Duration aTime)
{
  mHosts[aHost].mCutUntil = mNow + aTime;
}

void
World::CutStore(std::size_t aHost, Duration aTime)
{
  mHosts[aHost].mStoreCutUntil = mNow + aTime;
}

void
World::LosePower(Duration aTime)
{
  for (std::size_t n = 0; n < mHosts.size(); ++n) {
    if (mHosts[n].mIsAlive) {
      Kill(n, aTime + RandomDuration(200ms));
    }
  }
}

void
World::StopStore(Duration aTime)
{
  mStoreDownUntil = mNow + aTime;
}

void
World::Publish(std::size_t aAccount, RateLimit aLimit, Duration aMaxDelay)
{
  mOutcomes[aAccount].mLimits.emplace_back(aLimit, std::nullopt);
  for (Host& host : mHosts) {
    host.mPublished.emplace_back(
      mNow + RandomDuration(aMaxDelay), aAccount, aLimit);
  }
}

void
World::ForgetCounts()
{
  for (AccountOutcome& outcome : mOutcomes) {
    outcome.mAsked = 0;
    outcome.mRefused = 0;
    outcome.mMaxWait = Duration{ 0 };
  }
}

std::optional<std::size_t>
World::Granter() const
{
  for (std::size_t n = 0; n < mHosts.size(); ++n) {
    if (mHosts[n].mIsAlive && IsGranter(mHosts[n])) {
      return n;
    }
  }
  return std::nullopt;
}

void
World::RunUntil(Duration aTime)
{
  while (!mEvents.empty() && mEvents.begin()->first.first <= mStart + aTime) {
    auto entry = mEvents.extract(mEvents.begin());
    mNow = entry.key().first;
    Event& event = entry.mapped();
    if (auto* const operation = std::get_if<Operation>(&event.mBody)) {
      if (operation->mReceivedAt == mNow) {
        const std::size_t dataCentres =
          std::min(mAccounts[operation->mAccount].mDataCentres, mDataCentres);
        do {
          event.mHost = mRandom() % mHosts.size();
        } while (mHosts[event.mHost].mDataCentre >= dataCentres);
        ScheduleOperation(operation->mAccount);
      } else if (operation->mReceivedAt == Instant{}) {
        ScheduleOperation(operation->mAccount);
        continue;
      }
    }
    Host& host = mHosts[event.mHost];
    const auto* const tick = std::get_if<Tick>(&event.mBody);
    if (tick != nullptr && tick->mIncarnation == 0) {
      StartProcess(event.mHost);
      continue;
    }
    if (!host.mIsAlive) {
      continue;
    }
    if (mNow < host.mFrozenUntil) {
      Push(host.mFrozenUntil, event.mHost, event.mBody);
      continue;
    }
    std::visit(
      [this, &event](const auto& aBody) { Handle(event.mHost, aBody); },
      event.mBody);
  }
  mNow = mStart + aTime;
}

bool
World::IsGranter(const Host& aHost) const
{
  return LocalNow(aHost) < aHost.mHeldUntil;
}

AllowanceTerms
World::Terms(std::size_t aHost, std::size_t aAccount) const
{
  const Host& host = mHosts[aHost];
  FloorTerms floor;
  floor.mIsFirst =
    std::all_of(host.mList.begin(), host.mList.end(), [&](std::size_t aOther) {
      const Host& other = mHosts[aOther];
      return other.mDataCentre != host.mDataCentre || other.mRank >= host.mRank;
    });
  if (host.mListReadAt) {
    floor.mListAge = LocalNow(host) - *host.mListReadAt;
  }
  floor.mHadPlaceBefore = host.mHadPlaceBefore;
  floor.mListedFor = mNow - host.mListedSince;
  AllowanceTerms terms;
  terms.mNow = LocalNow(host);
  terms.mLimit = host.mLimits[aAccount];
  terms.mBounds = mBounds;
  terms.mDataCentres = mDataCentres;
  terms.mHasFloor = SpendsFloor(floor);
  if (IsGranter(host)) {
    terms.mGranter = { host.mLeaseToken, host.mHeldUntil };
  }
  terms.mHasSource = host.mSource.has_value();
  return terms;
}

void
World::Pass(const Operation& aOperation)
{
  AccountOutcome& outcome = mOutcomes[aOperation.mAccount];
  outcome.mPassed.push_back({ aOperation.mReceivedAt, mNow });
  outcome.mMaxWait = std::max(outcome.mMaxWait, mNow - aOperation.mReceivedAt);
}

void
World::Apply(std::size_t aHost,
             std::size_t aAccount,
             const AllowanceOutcome& aOutcome)
{
  Host& host = mHosts[aHost];
  for (const TokenDecision& decision : aOutcome.mDecisions) {
    if (const auto it = host.mOperations.find(decision.mId);
        it != host.mOperations.end()) {
      if (decision.mIsComplete) {
        Pass(it->second);
      } else {
        ++mOutcomes[aAccount].mRefused;
      }
      host.mOperations.erase(it);
    } else if (const auto query = host.mQueries.find(decision.mId);
               query != host.mQueries.end()) {
      const TokenQuery& asked = query->second;
      Send(
        aHost,
        asked.mFrom,
        TokenReport{
          asked.mIncarnation,
          asked.mAccount,
          { asked.mWanted.mNumber, decision.mGranted, decision.mRetryAfter } });
      host.mQueries.erase(query);
    }
  }
  if (aOutcome.mWanted && host.mSource) {
    Send(
      aHost,
      *host.mSource,
      TokenQuery{
        aHost, host.mIncarnation, IdOfAccount(aAccount), *aOutcome.mWanted });
  }
}

void
World::Handle(std::size_t aHost, const Operation& aOperation)
{
  Host& host = mHosts[aHost];
  ++mOutcomes[aOperation.mAccount].mAsked;
  const TokenRequest request{
    ++mSequence, 1, 0, LocalNow(host) + kTokenTimeout
  };
  host.mOperations.emplace(request.mId, aOperation);
  Apply(aHost,
        aOperation.mAccount,
        RequestTokens(host.mAllowances,
                      IdOfAccount(aOperation.mAccount),
                      request,
                      Terms(aHost, aOperation.mAccount)));
}

void
World::Handle(std::size_t aHost, const TokenQuery& aQuery)
{
  Host& host = mHosts[aHost];
  const TokenRequest request{
    ++mSequence, aQuery.mWanted.mCount, 0, LocalNow(host) + kRelayedTimeout
  };
  host.mQueries.emplace(request.mId, aQuery);
  const std::size_t account = AccountOfId(aQuery.mAccount);
  Apply(aHost,
        account,
        RequestTokens(
          host.mAllowances, aQuery.mAccount, request, Terms(aHost, account)));
}

void
World::Handle(std::size_t aHost, const TokenReport& aReport)
{
  Host& host = mHosts[aHost];
  if (aReport.mIncarnation != host.mIncarnation) {
    return;
  }
  const std::size_t account = AccountOfId(aReport.mAccount);
  Apply(aHost,
        account,
        HandleTokens(host.mAllowances,
                     aReport.mAccount,
                     aReport.mGiven,
                     Terms(aHost, account)));
}

void
World::Handle(std::size_t aHost, const Query& aQuery)
{
  Host& host = mHosts[aHost];
  Report report;
  report.mNumber = aQuery.mNumber;
  // The sender's process may be another by now; it has the query's number.
  report.mIncarnation = aQuery.mShares ? aQuery.mShares->mIncarnation : 0;
  if (aQuery.mShares && IsGranter(host)) {
    const std::string name = std::to_string(aQuery.mFrom);
    NoteShareQuery(
      host.mLedger, name, aQuery.mNumber, *aQuery.mShares, LocalNow(host));
    report.mShares = GrantShares(host.mLedger,
                                 name,
                                 aQuery.mNumber,
                                 aQuery.mShares->mIncarnation,
                                 LocalNow(host));
  }
  Send(aHost, aQuery.mFrom, std::move(report));
}

void
World::Handle(std::size_t aHost, const Report& aReport)
{
  Host& host = mHosts[aHost];
  if (!host.mIsQueryPending || aReport.mNumber != host.mLastQuery ||
      (aReport.mIncarnation != 0 &&
       aReport.mIncarnation != host.mIncarnation)) {
    return;
  }
  host.mIsQueryPending = false;
  if (aReport.mShares) {
    ApplyShares(
      host.mAllowances, *aReport.mShares, host.mAskedAt, LocalNow(host));
  }
}

void
World::Handle(std::size_t aHost, const Tick& aTick)
{
  Host& host = mHosts[aHost];
  if (aTick.mIncarnation != host.mIncarnation) {
    return;
  }
  TakeLimits(aHost);
  if (IsStoreReachable(host)) {
    host.mKnownHolder = mHolder;
    if (!host.mListReadAt ||
        LocalNow(host) - *host.mListReadAt > kListInterval) {
      host.mList = mListed;
      host.mListReadAt = LocalNow(host);
    }
  }
  MaintainLease(aHost);
  RefreshOwnShares(aHost);
  ChooseSource(aHost);
  QuerySource(aHost);
  for (std::size_t n = 0; n < mAccounts.size(); ++n) {
    Apply(aHost,
          n,
          ExpireRequests(host.mAllowances, IdOfAccount(n), Terms(aHost, n)));
  }
  Push(mNow + kTickInterval, aHost, aTick);
}

void
World::TakeLimits(std::size_t aHost)
{
  Host& host = mHosts[aHost];
  if (host.mPublished.empty() || mNow < host.mCutUntil) {
    return;
  }
  std::erase_if(host.mPublished, [&](const auto& aEntry) {
    const auto& [at, account, limit] = aEntry;
    if (at > mNow) {
      return false;
    }
    host.mLimits[account] = limit;
    return true;
  });
  for (std::size_t n = 0; n < mAccounts.size(); ++n) {
    for (auto& [limit, until] : mOutcomes[n].mLimits) {
      const RateLimit& known = limit;
      const bool isHeld =
        std::any_of(mHosts.begin(), mHosts.end(), [&](const Host& aOther) {
          return aOther.mIsAlive && aOther.mLimits[n] == known;
        });
      if (isHeld) {
        until.reset();
      } else if (!until) {
        until = mNow;
      }
    }
  }
}

void
World::MaintainLease(std::size_t aHost)
{
  Host& host = mHosts[aHost];
  if (!IsStoreReachable(host)) {
    return;
  }
  const bool isOwn = mHolder == aHost && mToken == host.mLeaseToken;
  if (isOwn && mNow - host.mRenewedAt < kLeaseRenewal) {
    return;
  }
  if (!isOwn) {
    const bool isFollower =
      host.mSource && mHosts[*host.mSource].mDataCentre == host.mDataCentre;
    const Duration patience =
      (isFollower ? Duration(3s) : Duration(0)) + RandomDuration(400ms);
    const bool isFree = mHolder == aHost || mNow >= mLeaseEnd + patience;
    if (!isFree) {
      return;
    }
    host.mLeaseToken = ++mToken;
    mHolder = aHost;
    BeginLedger(host.mLedger, host.mLeaseToken, LocalNow(host));
  }
  host.mRenewedAt = mNow;
  mLeaseEnd = mNow + kLeaseDuration;
  host.mHeldUntil = LocalNow(host) + kLeaseDuration - kLeaseMargin;
}

void
World::RefreshOwnShares(std::size_t aHost)
{
  Host& host = mHosts[aHost];
  if (!IsGranter(host) ||
      LocalNow(host) - host.mSharesAskedAt < kShareInterval) {
    return;
  }
  host.mSharesAskedAt = LocalNow(host);
  const std::string name = std::to_string(aHost);
  const std::uint64_t number = ++host.mOwnQueries;
  NoteShareQuery(
    host.mLedger,
    name,
    number,
    PresentShares(host.mAllowances, host.mIncarnation, LocalNow(host)),
    LocalNow(host));
  const auto report =
    GrantShares(host.mLedger, name, number, host.mIncarnation, LocalNow(host));
  ApplyOwnShares(host.mAllowances, *report, LocalNow(host));
}

void
World::ChooseSource(std::size_t aHost)
{
  Host& host = mHosts[aHost];
  if (IsGranter(host)) {
    host.mSource.reset();
    host.mIsQueryPending = false;
    return;
  }
  if (host.mIsQueryPending && LocalNow(host) - host.mAskedAt > kQueryTimeout) {
    host.mSilentUntil[*host.mSource] = LocalNow(host) + kSilenceTime;
    host.mIsQueryPending = false;
  }
  std::optional<std::size_t> best;
  const auto isSilent = [&](std::size_t aOther) {
    const auto it = host.mSilentUntil.find(aOther);
    return it != host.mSilentUntil.end() && LocalNow(host) < it->second;
  };
  for (const std::size_t n : host.mList) {
    const Host& other = mHosts[n];
    const bool precedes =
      other.mDataCentre == host.mDataCentre && other.mRank < host.mRank;
    if (precedes && !isSilent(n) &&
        (!best || other.mRank < mHosts[*best].mRank)) {
      best = n;
    }
  }
  if (!best && host.mKnownHolder && *host.mKnownHolder != aHost &&
      !isSilent(*host.mKnownHolder)) {
    best = host.mKnownHolder;
  }
  if (best != host.mSource) {
    host.mSource = best;
    host.mIsQueryPending = false;
  }
}

void
World::QuerySource(std::size_t aHost)
{
  Host& host = mHosts[aHost];
  if (!host.mSource || host.mIsQueryPending ||
      LocalNow(host) - host.mAskedAt < kQueryInterval) {
    return;
  }
  Query query;
  query.mFrom = aHost;
  query.mNumber = ++host.mLastQuery;
  const bool isGranterElsewhere =
    host.mKnownHolder == host.mSource &&
    mHosts[*host.mSource].mDataCentre != host.mDataCentre;
  if (isGranterElsewhere &&
      LocalNow(host) - host.mSharesAskedAt >= kShareInterval) {
    query.mShares =
      PresentShares(host.mAllowances, host.mIncarnation, LocalNow(host));
    host.mSharesAskedAt = LocalNow(host);
  }
  host.mIsQueryPending = true;
  host.mAskedAt = LocalNow(host);
  Send(aHost, *host.mSource, std::move(query));
}

std::optional<std::string>
World::FindBreach() const
{
  for (std::size_t n = 0; n < mOutcomes.size(); ++n) {
    const AccountOutcome& outcome = mOutcomes[n];
    const auto& passed = outcome.mPassed;
    std::size_t first = 0;
    for (std::size_t last = 0; last < passed.size(); ++last) {
      const Instant begin = passed[last].mPassedAt - mBounds.mWindow;
      while (passed[first].mPassedAt < begin) {
        ++first;
      }
      double allowed = 0;
      for (const auto& [limit, until] : outcome.mLimits) {
        if (!until || *until >= begin) {
          allowed = std::max(allowed, OperationsInWindow(limit, mBounds));
        }
      }
      allowed = allowed * (1 + mBounds.mOverage) + mBounds.mSlack + kRounding;
      if (static_cast<double>(last - first + 1) <= allowed) {
        continue;
      }
      const auto count =
        std::count_if(passed.begin() + static_cast<std::ptrdiff_t>(first),
                      passed.begin() + static_cast<std::ptrdiff_t>(last) + 1,
                      [begin](const PassedOperation& aOperation) {
                        return aOperation.mReceivedAt >= begin;
                      });
      if (static_cast<double>(count) > allowed) {
        return "account " + std::to_string(n) + ": " + std::to_string(count) +
               " operations, " + std::to_string(allowed) + " allowed, until " +
               std::to_string(
                 std::chrono::duration<double>(passed[last].mPassedAt - mStart)
                   .count()) +
               " s";
      }
    }
  }
  return std::nullopt;
}

}
