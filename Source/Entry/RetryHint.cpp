#include "Entry/RetryHint.h"

#include "Common/Hash.h"

namespace camphorstep {

namespace {

constexpr std::uint64_t kJitterSteps = 1'000;

}

Duration
JitterRetryHint(std::uint64_t aSeed, Duration aHint)
{
  const auto step =
    static_cast<std::int64_t>(HashPair(aSeed, kJitterSteps) % kJitterSteps);
  return aHint / 2 + aHint * step / static_cast<std::int64_t>(kJitterSteps);
}

}
