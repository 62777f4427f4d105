#include "Entry/Freshness.h"

#include <algorithm>

namespace camphorstep {

namespace {

constexpr std::size_t kMaxPrimarySamples = 256;
/// Samples that follow the previous one sooner than this are dropped.
constexpr Duration kMinSampleInterval = std::chrono::milliseconds(10);
/// Old samples are thinned out to a spacing of their age divided by this.
constexpr std::int64_t kSampleSpacingDivisor = 16;
/// A little more than the greatest age that a profile can set.
constexpr Duration kMaxSampleAge = std::chrono::minutes(11);
/// A falling lag estimate moves towards the measured lag by the difference
/// divided by this.
constexpr std::int64_t kLagDecayDivisor = 8;

/// Thins samples out so that their spacing grows with their age.
void
ThinOut(std::deque<PrimarySample>& aSamples)
{
  const Instant now = aSamples.back().mSampledAt;
  std::deque<PrimarySample> kept{ aSamples.back() };
  for (auto it = aSamples.rbegin() + 1; it != aSamples.rend(); ++it) {
    const Duration age = now - it->mSampledAt;
    if (age > kMaxSampleAge) {
      break;
    }
    if (kept.front().mSampledAt - it->mSampledAt >=
        age / kSampleSpacingDivisor) {
      kept.push_front(*it);
    }
  }
  aSamples = std::move(kept);
}

/// Returns the first sample at or after a position, or the end.
std::deque<PrimarySample>::const_iterator
FirstAtOrBeyond(const DatabaseUse& aUse, Position aPosition)
{
  return std::lower_bound(aUse.mPrimarySamples.begin(),
                          aUse.mPrimarySamples.end(),
                          aPosition,
                          [](const PrimarySample& aSample, Position aWanted) {
                            return aSample.mPosition < aWanted;
                          });
}

/// Returns the last sample at or before a position, or the end.
std::deque<PrimarySample>::const_iterator
LastAtOrBefore(const DatabaseUse& aUse, Position aPosition)
{
  const auto beyond =
    std::upper_bound(aUse.mPrimarySamples.begin(),
                     aUse.mPrimarySamples.end(),
                     aPosition,
                     [](Position aWanted, const PrimarySample& aSample) {
                       return aWanted < aSample.mPosition;
                     });
  return beyond == aUse.mPrimarySamples.begin() ? aUse.mPrimarySamples.end()
                                                : beyond - 1;
}

}

void
AddPrimarySample(DatabaseUse& aUse, const PrimarySample& aSample)
{
  std::deque<PrimarySample>& samples = aUse.mPrimarySamples;
  const bool inOrder =
    samples.empty() ||
    (samples.back().mSampledAt + kMinSampleInterval <= aSample.mSampledAt &&
     samples.back().mPosition <= aSample.mPosition);
  if (!inOrder) {
    return;
  }
  samples.push_back(aSample);
  if (samples.size() > kMaxPrimarySamples) {
    ThinOut(samples);
  }
}

void
DropOlderTerms(DatabaseUse& aUse, Term aTerm)
{
  std::deque<PrimarySample>& samples = aUse.mPrimarySamples;
  while (!samples.empty() && samples.front().mPosition.mTerm < aTerm) {
    samples.pop_front();
  }
}

void
UpdateLagEstimate(const DatabaseUse& aUse, KnownServer& aKnown)
{
  const Position applied = aKnown.mView.mApplied;
  const bool isBehind = !aUse.mPrimarySamples.empty() &&
                        applied < aUse.mPrimarySamples.back().mPosition;
  if (!isBehind) {
    return;
  }
  const auto it = LastAtOrBefore(aUse, applied);
  const Instant reachedAt = it == aUse.mPrimarySamples.end()
                              ? aUse.mPrimarySamples.front().mSampledAt
                              : it->mSampledAt;
  const Duration lag = std::max(Duration{ 0 }, aKnown.mSampledAt - reachedAt);
  aKnown.mLag = lag > aKnown.mLag
                  ? lag
                  : aKnown.mLag + (lag - aKnown.mLag) / kLagDecayDivisor;
}

std::optional<Duration>
AgeOf(const DatabaseUse& aUse, Instant aNow, Position aPosition)
{
  const auto it = LastAtOrBefore(aUse, aPosition);
  if (it == aUse.mPrimarySamples.end()) {
    return std::nullopt;
  }
  return aNow - it->mSampledAt;
}

std::optional<Position>
MinPositionAt(const DatabaseUse& aUse, Instant aTime)
{
  const auto it =
    std::lower_bound(aUse.mPrimarySamples.begin(),
                     aUse.mPrimarySamples.end(),
                     aTime,
                     [](const PrimarySample& aSample, Instant aWanted) {
                       return aSample.mSampledAt < aWanted;
                     });
  if (it == aUse.mPrimarySamples.end()) {
    return std::nullopt;
  }
  return it->mPosition;
}

Duration
ExpectedCatchUpDelay(const DatabaseUse& aUse,
                     const KnownServer& aReplica,
                     Instant aNow,
                     Position aPosition)
{
  if (aPosition <= aReplica.mView.mApplied) {
    return Duration{ 0 };
  }
  const auto it = FirstAtOrBeyond(aUse, aPosition);
  const Instant reachedAt =
    it == aUse.mPrimarySamples.end() ? aNow : it->mSampledAt;
  return std::max(Duration{ 0 }, reachedAt + aReplica.mLag - aNow);
}

}
