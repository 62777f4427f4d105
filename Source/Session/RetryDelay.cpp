#include "Session/RetryDelay.h"

#include <algorithm>

#include "Backend/Admission.h"
#include "Common/Hash.h"
#include "Gateway/Tuning.h"
#include "Session/Routing.h"

namespace camphorstep::gateway {

namespace {

/// Steps of the spread, from three to five quarters of the delay.
constexpr std::uint64_t kSpreadSteps = 1'000;

/// How long the active statement would have to wait; zero if it is not known.
Duration
ExpectedWait(const Context& aContext, const Session& aSession)
{
  const ActiveStatement& active = *aSession.mActive;
  if (active.mStage == StatementStage::AwaitingServer) {
    // A loss that has lasted for long is expected to go on as long.
    return PrimaryLossTime(aContext, aSession);
  }
  const Backend* const backend =
    Find(aContext.mState.mBackends, active.mServer);
  return active.mStage == StatementStage::Queued && backend != nullptr
           ? QueueWait(backend->mPace, backend->mQueue.size())
           : Duration{ 0 };
}

}

Duration
RetryDelay(Duration aExpectedWait,
           Duration aTimeLimit,
           std::string_view aRequest)
{
  const Duration wait =
    aExpectedWait == Duration{ 0 } ? kRetryHint : aExpectedWait;
  const Duration delay =
    std::clamp(wait, kLeastRetryDelay, std::max(kLeastRetryDelay, aTimeLimit));
  const auto step = static_cast<Duration::rep>(Hash64(aRequest) % kSpreadSteps);
  return delay * 3 / 4 +
         delay * step / (2 * static_cast<Duration::rep>(kSpreadSteps));
}

Duration
AdvisedRetryDelay(const Context& aContext, const Session& aSession)
{
  const ActiveStatement& active = *aSession.mActive;
  return RetryDelay(ExpectedWait(aContext, aSession),
                    active.mDeadline - active.mArrivedAt,
                    active.mStatement.mId);
}

}
