#include "Dispatcher/ServiceTime.h"

#include <algorithm>

namespace camphorstep {

namespace {

constexpr Duration kInitialServiceTime = std::chrono::milliseconds(5);
/// A new sample contributes one part in this many.
constexpr std::int64_t kMeanWeight = 8;
constexpr std::int64_t kDeviationWeight = 4;

}

void
AddSample(ServiceTime& aTime, Duration aSample)
{
  if (!aTime.mHasSamples) {
    aTime = ServiceTime{ true, aSample, aSample / 2 };
    return;
  }
  const Duration error = aSample - aTime.mMean;
  aTime.mMean += error / kMeanWeight;
  aTime.mDeviation +=
    (std::chrono::abs(error) - aTime.mDeviation) / kDeviationWeight;
}

Duration
ExpectedServiceTime(const ServiceTime& aTime)
{
  return aTime.mHasSamples ? std::max(aTime.mMean, Duration{ 1 })
                           : kInitialServiceTime;
}

Duration
LowServiceTime(const ServiceTime& aTime)
{
  return std::max(Duration{ 0 }, aTime.mMean - 2 * aTime.mDeviation);
}

}
