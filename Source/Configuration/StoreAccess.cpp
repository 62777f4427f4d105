#include "Configuration/StoreAccess.h"

#include <algorithm>

#include "Common/Hash.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

constexpr std::uint32_t kFailuresToOpen = 3;
constexpr Duration kFirstBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);
constexpr std::uint32_t kMaxDoublings = 5;

bool
IsOpen(const StoreBreaker& aBreaker)
{
  return aBreaker.mFailures >= kFailuresToOpen;
}

std::uint64_t
SeedOf(const State& aState)
{
  return HashPair(aState.mIncarnation, aState.mConfiguration.mStore.mLastCall);
}

}

bool
CanTry(const StoreBreaker& aBreaker, Instant aNow)
{
  return !IsOpen(aBreaker) || aNow >= aBreaker.mNextTry;
}

void
NoteTry(StoreBreaker& aBreaker, Instant aNow, std::uint64_t aSeed)
{
  if (IsOpen(aBreaker)) {
    aBreaker.mNextTry = aNow + BackoffAfter(aBreaker.mFailures, aSeed);
  }
}

void
NoteOutcome(StoreBreaker& aBreaker,
            StoreStatus aStatus,
            Instant aNow,
            std::uint64_t aSeed)
{
  if (aStatus != StoreStatus::Unknown) {
    aBreaker = StoreBreaker{};
    return;
  }
  ++aBreaker.mFailures;
  aBreaker.mNextTry = aNow + BackoffAfter(aBreaker.mFailures, aSeed);
}

Duration
BackoffAfter(std::uint32_t aFailures, std::uint64_t aSeed)
{
  const std::uint32_t doublings = std::min(aFailures, kMaxDoublings);
  const Duration full =
    std::min(kFirstBackoff * (1U << doublings), kMaxBackoff);
  const auto jitter = static_cast<Duration::rep>(
    aSeed % static_cast<std::uint64_t>(full.count()));
  return (full + Duration(jitter)) / 2;
}

std::optional<StoreCallId>
BeginStoreCall(Context& aContext,
               StorePurpose aPurpose,
               OperatorCallId aOperatorCall)
{
  StoreAccess& store = aContext.mState.mConfiguration.mStore;
  if (!CanTry(store.mBreaker, aContext.mNow)) {
    return std::nullopt;
  }
  NoteTry(store.mBreaker, aContext.mNow, SeedOf(aContext.mState));
  const StoreCallId call{ ++store.mLastCall };
  store.mPendingCalls.emplace(call,
                              PendingStoreCall{ aPurpose, aOperatorCall });
  return call;
}

std::optional<PendingStoreCall>
EndStoreCall(Context& aContext, StoreCallId aCall, StoreStatus aStatus)
{
  StoreAccess& store = aContext.mState.mConfiguration.mStore;
  const auto it = store.mPendingCalls.find(aCall);
  if (it == store.mPendingCalls.end()) {
    return std::nullopt;
  }
  const PendingStoreCall call = it->second;
  store.mPendingCalls.erase(it);
  NoteOutcome(store.mBreaker, aStatus, aContext.mNow, SeedOf(aContext.mState));
  return call;
}

}
