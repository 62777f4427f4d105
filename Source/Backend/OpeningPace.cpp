#include "Backend/OpeningPace.h"

#include <algorithm>

#include "Gateway/Tuning.h"

namespace camphorstep::gateway {

namespace {

/// An opening that takes longer than this has waited at the server for others.
/// It is twice what one takes to a server in another region: two round trips
/// and the server's work.
constexpr Duration kSlowOpening = 120ms;
/// How often the delay after a refusal is doubled at most.
constexpr std::uint32_t kMaxDoublings = 2;

}

void
RecordOpened(OpeningPace& aPace, Duration aTime)
{
  aPace.mTurnedAway = 0;
  aPace.mWindow =
    aTime > kSlowOpening ? 1 : std::min(2 * aPace.mWindow, kMaxOpening);
}

void
RecordOpeningFailed(OpeningPace& aPace)
{
  aPace.mWindow = 1;
}

Duration
RecordTurnedAway(OpeningPace& aPace)
{
  RecordOpeningFailed(aPace);
  const std::uint32_t doublings = std::min(aPace.mTurnedAway, kMaxDoublings);
  ++aPace.mTurnedAway;
  return kServerFullRetryDelay * (1U << doublings);
}

}
