#include "Entry/Intake.h"

#include <algorithm>

#include "Entry/Completion.h"
#include "Entry/RetryHint.h"
#include "Keeper/Keeper.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// A dispatcher's reported limits apply for this long.
constexpr Duration kIntakeTimeout = std::chrono::milliseconds(500);
/// Maximum number of closed classes. Calls of further classes are refused by
/// the core instead of the shell.
constexpr std::size_t kMaxClosed = 256;

RankUse&
UseOf(EntryState& aEntry, const PendingRequest& aPending)
{
  return aEntry.mIntake[aPending.mServer]
    .mRanks[IndexOf(aPending.mProfile.mRank)];
}

}

void
ApplyIntake(Context& aContext, const ServerView& aView)
{
  ServerIntake& intake = aContext.mState.mEntry.mIntake[aView.mServer];
  intake.mReceivedAt = aContext.mNow;
  for (const Rank rank : kRanks) {
    intake.mRanks[IndexOf(rank)].mIntake = aView.mIntake[IndexOf(rank)];
  }
}

bool
HasRoom(const State& aState,
        Instant aNow,
        Rank aRank,
        const std::string& aService,
        ServerId aServer)
{
  const auto it = aState.mEntry.mIntake.find(aServer);
  if (it == aState.mEntry.mIntake.end() ||
      aNow - it->second.mReceivedAt > kIntakeTimeout ||
      !aState.mConfiguration.mCurrent.mPolicy.mEntryRefusal) {
    return true;
  }
  const RankUse& use = it->second.mRanks[IndexOf(aRank)];
  const int window = use.mIntake.mWindow;
  if (window == 0 || use.mInFlight < window) {
    return true;
  }
  const auto own = use.mInFlightByService.find(aService);
  const int inFlight = own == use.mInFlightByService.end() ? 0 : own->second;
  const auto services = static_cast<int>(use.mInFlightByService.size()) +
                        (own == use.mInFlightByService.end() ? 1 : 0);
  return services > 1 && inFlight < std::max(1, window / services);
}

bool
HasRoomForCall(const State& aState,
               Instant aNow,
               Rank aRank,
               const CallClass& aClass)
{
  const DatabaseId id = IdOf<DatabaseId>(aClass.mDatabase);
  const Database* const database = aState.mTopology.FindDatabase(id);
  const std::optional<ServerId> primary = PrimaryOf(aState, id);
  if (database == nullptr || !primary) {
    return true;
  }
  const auto hasRoom = [&](ServerId aServer) {
    return HasRoom(aState, aNow, aRank, aClass.mService, aServer);
  };
  return aClass.mNeedsPrimary ? hasRoom(*primary)
                              : std::any_of(database->mServers.begin(),
                                            database->mServers.end(),
                                            hasRoom);
}

void
CloseIntake(Context& aContext, Rank aRank, const CallerRequest& aRequest)
{
  auto& closed = aContext.mState.mEntry.mClosed;
  const CallClass callClass = ClassOf(aRequest);
  if (closed.size() >= kMaxClosed || !closed.emplace(callClass, aRank).second) {
    return;
  }
  Emit(aContext, SetIntake{ callClass, aRank, true });
}

void
ReopenIntake(Context& aContext)
{
  auto& closed = aContext.mState.mEntry.mClosed;
  for (auto it = closed.begin(); it != closed.end();) {
    if (HasRoomForCall(aContext.mState, aContext.mNow, it->second, it->first)) {
      Emit(aContext, SetIntake{ it->first, it->second, false });
      it = closed.erase(it);
    } else {
      ++it;
    }
  }
}

void
AddInFlight(EntryState& aEntry, const PendingRequest& aPending)
{
  RankUse& use = UseOf(aEntry, aPending);
  ++use.mInFlight;
  ++use.mInFlightByService[aPending.mCaller.mService];
}

void
RemoveInFlight(EntryState& aEntry, const PendingRequest& aPending)
{
  RankUse& use = UseOf(aEntry, aPending);
  --use.mInFlight;
  const auto it = use.mInFlightByService.find(aPending.mCaller.mService);
  if (--it->second == 0) {
    use.mInFlightByService.erase(it);
  }
}

void
RefuseForLoad(Context& aContext, RequestId aId)
{
  const PendingRequest& pending = aContext.mState.mEntry.mPending.at(aId);
  ++aContext.mState.mCounters.mRanks[IndexOf(pending.mProfile.mRank)]
      .mRefusedAtEntry;
  CallerAnswer answer;
  answer.mCode = ResultCode::Overloaded;
  answer.mOutcome = pending.mMayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  answer.mRetryAfter =
    JitterRetryHint(pending.mCaller.mCall.mValue, kRetryHint);
  Finish(aContext, aId, std::move(answer));
}

}
