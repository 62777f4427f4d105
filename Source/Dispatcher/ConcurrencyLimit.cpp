#include "Dispatcher/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace camphorstep {

namespace {

/// Low enough that two dispatchers starting together hardly overload a server
/// with five slots.
constexpr double kInitialLimit = 3;
/// Latency alone does not lower the limit below this share of the slots, since
/// statements of uneven length can look like queueing.
constexpr double kFloorShare = 0.4;
constexpr int kMinBatchSamples = 20;
constexpr Duration kMinBatchTime = std::chrono::milliseconds(20);
/// A baseline expires after at most two windows.
constexpr Duration kBaselineWindow = std::chrono::seconds(10);

/// Estimated number of this dispatcher's statements that queue at the server.
/// The limit grows below the first threshold and shrinks above the second.
constexpr double kGrowBelowQueued = 0.4;
constexpr double kShrinkAboveQueued = 0.8;
/// Growth per batch, below and from half of the slots.
constexpr double kFastGrowth = 1.0;
constexpr double kSlowGrowth = 0.25;
constexpr double kShrinkFactor = 0.9;
constexpr double kRefusalShrinkFactor = 0.6;
/// Refusals come in bursts. Further refusals within this interval do not lower
/// the limit again.
constexpr Duration kRefusalCutInterval = std::chrono::milliseconds(50);
constexpr double kProbeLimitFactor = 0.4;
/// Few samples keep a probe short, since it delays statements.
constexpr int kProbeSamples = 8;
/// A batch counts as slower only if its mean exceeds the baseline by more than
/// this many standard errors.
constexpr double kConfidenceStandardErrors = 3.0;

double
CurrentLimit(const ConcurrencyLimit& aLimit)
{
  return aLimit.mLimit > 0 ? aLimit.mLimit : kInitialLimit;
}

double
BaselineOf(const ConcurrencyLimit& aLimit)
{
  if (aLimit.mLastBaseline == 0) {
    return aLimit.mWindowBaseline;
  }
  return std::min(aLimit.mWindowBaseline, aLimit.mLastBaseline);
}

void
UpdateBaseline(ConcurrencyLimit& aLimit, Instant aNow, double aMean)
{
  if (aNow - aLimit.mWindowStart >= kBaselineWindow) {
    aLimit.mLastBaseline = aLimit.mWindowBaseline;
    aLimit.mWindowBaseline = aMean;
    aLimit.mWindowStart = aNow;
    aLimit.mProbing = aLimit.mLastBaseline > 0;
    return;
  }
  aLimit.mProbing = false;
  aLimit.mWindowBaseline = aLimit.mWindowBaseline == 0
                             ? aMean
                             : std::min(aLimit.mWindowBaseline, aMean);
}

/// The lower confidence bound of the batch's mean latency, in microseconds.
double
LowerConfidenceBound(const ConcurrencyLimit& aLimit, double aMean)
{
  const double variance =
    std::max(0.0, aLimit.mSumSquaredMicros / aLimit.mSamples - aMean * aMean);
  return aMean -
         kConfidenceStandardErrors * std::sqrt(variance / aLimit.mSamples);
}

void
Adjust(ConcurrencyLimit& aLimit, double aMean, int aSlots)
{
  const double current = CurrentLimit(aLimit);
  const double baseline = BaselineOf(aLimit);
  const double low = std::max(LowerConfidenceBound(aLimit, aMean), baseline);
  const double queued = current * (1 - baseline / low);
  const double growth = current * 2 < aSlots ? kFastGrowth : kSlowGrowth;
  const double floor = std::max(1.0, aSlots * kFloorShare);
  if (queued > kShrinkAboveQueued) {
    aLimit.mLimit = std::max(floor, current * kShrinkFactor);
  } else if (aLimit.mSaturated && !aLimit.mRefused &&
             current * (1 - baseline / aMean) < kGrowBelowQueued) {
    aLimit.mLimit = std::min<double>(aSlots, current + growth);
  }
}

void
StartBatch(ConcurrencyLimit& aLimit, Instant aNow)
{
  aLimit.mSamples = 0;
  aLimit.mSumMicros = 0;
  aLimit.mSumSquaredMicros = 0;
  aLimit.mSaturated = false;
  aLimit.mRefused = false;
  aLimit.mBatchStart = aNow;
}

}

int
LimitOf(const ConcurrencyLimit& aLimit, int aSlots, bool aAdaptive)
{
  if (!aAdaptive) {
    return aSlots;
  }
  const double factor = aLimit.mProbing ? kProbeLimitFactor : 1.0;
  const int limit =
    static_cast<int>(std::lround(CurrentLimit(aLimit) * factor));
  return std::clamp(limit, 1, aSlots);
}

void
NoteLatency(ConcurrencyLimit& aLimit,
            Instant aNow,
            Duration aLatency,
            bool aSaturated,
            int aSlots)
{
  if (aLimit.mSamplesToSkip > 0) {
    --aLimit.mSamplesToSkip;
    return;
  }
  const auto micros = static_cast<double>(aLatency.count());
  ++aLimit.mSamples;
  aLimit.mSumMicros += micros;
  aLimit.mSumSquaredMicros += micros * micros;
  aLimit.mSaturated = aLimit.mSaturated || aSaturated;
  if (aLimit.mSamples < (aLimit.mProbing ? kProbeSamples : kMinBatchSamples) ||
      aNow - aLimit.mBatchStart < kMinBatchTime) {
    return;
  }
  const double mean = aLimit.mSumMicros / aLimit.mSamples;
  const bool probed = aLimit.mProbing;
  UpdateBaseline(aLimit, aNow, mean);
  if (!probed) {
    Adjust(aLimit, mean, aSlots);
  }
  StartBatch(aLimit, aNow);
  aLimit.mSamplesToSkip = aLimit.mProbing != probed ? aSlots : 0;
}

void
NoteRefusal(ConcurrencyLimit& aLimit, Instant aNow)
{
  aLimit.mRefused = true;
  if (aNow - aLimit.mLastRefusalCut >= kRefusalCutInterval) {
    aLimit.mLastRefusalCut = aNow;
    aLimit.mLimit = std::max(1.0, CurrentLimit(aLimit) * kRefusalShrinkFactor);
  }
}

void
ResetLimit(ConcurrencyLimit& aLimit)
{
  aLimit = ConcurrencyLimit{};
}

}
