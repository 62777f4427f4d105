#include "Backend/OutlierDetection.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace camphorstep::gateway {

namespace {

using namespace std::chrono_literals;

/// The time after which an outcome counts half. A host has few statements at
/// each server.
constexpr Duration kHalfLife = 10s;
/// Failures, by weight, without which a server is no outlier. One may be an
/// accident; two within the half-life are more.
constexpr double kLeastFailures = 1.4;
/// The share of failures from which callers notice that a second attempt was
/// needed.
constexpr double kNoticeableShare = 0.1;
/// How many times the share of the other servers' failures is clearly more.
constexpr double kOutlierFactor = 3;
/// Connections that are lost within this time have one cause.
constexpr Duration kSameCause = 100ms;
/// Intervals of trials: the first, and the longest.
constexpr Duration kTrialInterval = 500ms;
constexpr Duration kMaxTrialInterval = 8s;
/// Trials in a row that a server has to serve.
constexpr std::uint32_t kTrialsToRecover = 3;

double
WeightAt(double aWeight, const OutcomeRecord& aRecord, Instant aNow)
{
  const std::chrono::duration<double> age = aNow - aRecord.mWeighedAt;
  const std::chrono::duration<double> halfLife = kHalfLife;
  return aWeight * std::exp2(-(age / halfLife));
}

void
Reweigh(OutcomeRecord& aRecord, Instant aNow)
{
  aRecord.mServed = WeightAt(aRecord.mServed, aRecord, aNow);
  aRecord.mFailed = WeightAt(aRecord.mFailed, aRecord, aNow);
  aRecord.mWeighedAt = aNow;
}

bool
CountsAsTrial(const OutcomeRecord& aRecord, Instant aNow)
{
  return aRecord.mEjection && aNow >= aRecord.mEjection->mTrialsFrom;
}

double
ShareOf(double aFailed, double aServed)
{
  const double all = aFailed + aServed;
  return all > 0 ? aFailed / all : 0;
}

}

void
RecordServed(OutcomeRecord& aRecord, Instant aNow)
{
  Reweigh(aRecord, aNow);
  aRecord.mServed += 1;
  if (CountsAsTrial(aRecord, aNow)) {
    ++aRecord.mEjection->mTrialsServed;
    aRecord.mEjection->mTrialInterval = kTrialInterval;
    aRecord.mEjection->mNextTrialAt = aNow;
  }
}

void
RecordFailed(OutcomeRecord& aRecord, Instant aNow)
{
  Reweigh(aRecord, aNow);
  aRecord.mFailed += 1;
  if (CountsAsTrial(aRecord, aNow)) {
    Ejection& ejection = *aRecord.mEjection;
    ejection.mTrialsServed = 0;
    ejection.mTrialInterval =
      std::min(ejection.mTrialInterval * 2, kMaxTrialInterval);
    ejection.mTrialsFrom = aNow + ejection.mTrialInterval;
    ejection.mNextTrialAt = ejection.mTrialsFrom;
  }
}

void
RecordLost(OutcomeRecord& aRecord, Instant aNow)
{
  if (aNow - aRecord.mLostAt < kSameCause) {
    return;
  }
  aRecord.mLostAt = aNow;
  RecordFailed(aRecord, aNow);
}

bool
IsOutlier(const OutcomeRecord& aRecord,
          std::span<const OutcomeRecord> aOthers,
          Instant aNow)
{
  const double failed = WeightAt(aRecord.mFailed, aRecord, aNow);
  const double served = WeightAt(aRecord.mServed, aRecord, aNow);
  double othersFailed = 0;
  double othersServed = 0;
  for (const OutcomeRecord& other : aOthers) {
    othersFailed += WeightAt(other.mFailed, other, aNow);
    othersServed += WeightAt(other.mServed, other, aNow);
  }
  const double share = ShareOf(failed, served);
  return failed >= kLeastFailures && share >= kNoticeableShare &&
         share > kOutlierFactor * ShareOf(othersFailed, othersServed);
}

bool
MayEject(std::size_t aServers, std::size_t aEjected)
{
  return 2 * (aEjected + 1) <= aServers;
}

void
Eject(OutcomeRecord& aRecord, Instant aNow)
{
  const Instant firstTrial = aNow + kTrialInterval;
  aRecord.mEjection =
    Ejection{ aNow, firstTrial, firstTrial, kTrialInterval, 0 };
}

bool
IsTrialDue(const OutcomeRecord& aRecord, Instant aNow)
{
  return aRecord.mEjection && aNow >= aRecord.mEjection->mNextTrialAt;
}

void
StartTrial(OutcomeRecord& aRecord, Instant aNow)
{
  Ejection& ejection = *aRecord.mEjection;
  ejection.mNextTrialAt = aNow + ejection.mTrialInterval;
}

bool
HasRecovered(const OutcomeRecord& aRecord)
{
  return aRecord.mEjection &&
         aRecord.mEjection->mTrialsServed >= kTrialsToRecover;
}

void
Readmit(OutcomeRecord& aRecord, Instant aNow)
{
  aRecord = OutcomeRecord{};
  aRecord.mWeighedAt = aNow;
}

}
