#include "Fleet/Following.h"

#include <algorithm>

#include "Catalogue/Tables.h"
#include "Fleet/Reports.h"
#include "Fleet/Silence.h"
#include "Fleet/Sources.h"
#include "Gateway/Tuning.h"
#include "Group/Promoter.h"

namespace camphorstep::gateway {

namespace {

/// How long an answer may take beyond the time that it may wait for news.
constexpr Duration kAnswerTime = 150ms;
/// The least time between two queries of a source that answers.
constexpr Duration kMinAskInterval = 50ms;
/// A better source than the one that answers is tried after this time.
constexpr Duration kSourceTime = 5s;
/// How often a host without a source looks for one.
constexpr Duration kLookInterval = 250ms;

Duration
HoldFor(const Following& aFollowing)
{
  // A source that may be gone has to show at once that it answers.
  return aFollowing.mIsTrusted ? kLongPollTimeout : Duration{ 0 };
}

void
Ask(Context& aContext, const HostEntry& aSource)
{
  State& state = aContext.mState;
  Following& following = state.mFleet.mFollowing;
  PeerQuery query;
  query.mNumber = ++following.mQueries;
  query.mHost = state.mSelf.mEntry.mName;
  query.mMaxWait = HoldFor(following);
  query.mSequence = following.mSequence;
  for (std::size_t n = 0; n < kTableCount; ++n) {
    const TableProgress& table = state.mCatalogue.mTables.at(n);
    query.mVersions.at(n) = table.mKnown ? table.mVersion : 0;
  }
  query.mSilent = SilentServers(aContext);
  following.mAskedAt = aContext.mNow;
  following.mWaits = true;
  const bool isNew = !following.mIsTrusted;
  state.mTimers.Arm(
    TimerKind::QueryPeer, 0, aContext.mNow + query.mMaxWait + kAnswerTime);
  Emit(aContext,
       SendPeerQuery{ aSource.mPeerAddress, isNew, std::move(query) });
}

void
ChooseSource(Context& aContext, const HostEntry& aSource)
{
  Following& following = aContext.mState.mFleet.mFollowing;
  following.mSource = aSource.mName;
  following.mChosenAt = aContext.mNow;
  following.mHeardAt = aContext.mNow;
  following.mIsTrusted = false;
  following.mSequence = 0;
  Log(aContext,
      LogSeverity::Info,
      "asking a host for news",
      { { "host", aSource.mName }, { "data_centre", aSource.mDataCentre } });
}

/// Asks the source once more, or gives it up if it had been asked so.
void
NoteNoAnswer(Context& aContext, const std::string& aReason)
{
  Following& following = aContext.mState.mFleet.mFollowing;
  if (following.mIsTrusted) {
    following.mIsTrusted = false;
    following.mWaits = false;
    return;
  }
  SuspectSource(aContext, aReason);
}

/// The store has to be asked when nobody tells this host of it.
void
HastenTables(Context& aContext)
{
  for (std::size_t n = 0; n < kTableCount; ++n) {
    HastenPoll(aContext, static_cast<Table>(n));
  }
}

void
DropSource(Context& aContext)
{
  Following& following = aContext.mState.mFleet.mFollowing;
  following.mSource.clear();
  following.mIsTrusted = false;
  following.mWaits = false;
}

/// Whether a host that should be asked rather than the present source has had
/// time to come back.
bool
PrefersAnother(const Context& aContext)
{
  const Following& following = aContext.mState.mFleet.mFollowing;
  if (aContext.mNow - following.mChosenAt < kSourceTime) {
    return false;
  }
  const HostEntry* const best = BestSource(aContext);
  return best != nullptr && best->mName != following.mSource;
}

/// Asks the source; without one, the best candidate becomes the source.
void
AskNext(Context& aContext)
{
  const State& state = aContext.mState;
  const Following& following = state.mFleet.mFollowing;
  const HostEntry* source = Find(state.mCatalogue.mHosts, following.mSource);
  if (source == nullptr) {
    source = BestSource(aContext);
    if (source == nullptr) {
      DropSource(aContext);
      aContext.mState.mTimers.Arm(
        TimerKind::QueryPeer, 0, aContext.mNow + kLookInterval);
      return;
    }
    ChooseSource(aContext, *source);
  }
  Ask(aContext, *source);
}

}

void
FollowSource(Context& aContext)
{
  Following& following = aContext.mState.mFleet.mFollowing;
  if (HoldsPromoterLease(aContext)) {
    DropSource(aContext);
    aContext.mState.mTimers.Arm(
      TimerKind::QueryPeer, 0, aContext.mNow + kLookInterval);
    return;
  }
  const Instant due = following.mAskedAt + HoldFor(following) + kAnswerTime;
  if (following.mWaits && aContext.mNow < due) {
    aContext.mState.mTimers.Arm(TimerKind::QueryPeer, 0, due);
    return;
  }
  if (following.mWaits) {
    NoteNoAnswer(aContext, "no answer in time");
    if (following.mSource.empty()) {
      HastenTables(aContext);
    }
  }
  AskNext(aContext);
}

void
HandlePeerReported(Context& aContext, const PeerReport& aReport)
{
  Following& following = aContext.mState.mFleet.mFollowing;
  if (!following.mWaits || aReport.mNumber != following.mQueries) {
    // How old a late report's news are is not known.
    return;
  }
  following.mWaits = false;
  following.mIsTrusted = true;
  following.mHeardAt = aContext.mNow;
  following.mSequence = aReport.mSequence;
  following.mSuspicions.erase(following.mSource);
  const Duration held = std::clamp(
    aReport.mHeld, Duration{ 0 }, aContext.mNow - following.mAskedAt);
  ApplyReport(aContext, aReport, following.mAskedAt + held);
  if (aContext.mState.mFleet.mSequence !=
      aContext.mState.mFleet.mSharedSequence) {
    ShareNews(aContext);
  }
  if (HoldsPromoterLease(aContext)) {
    return;
  }
  const bool isStray = !IsFollower(aContext) && !aReport.mIsPromoter;
  if (isStray) {
    SuspectSource(aContext, "it is not the promoter any more");
    HastenTables(aContext);
  } else if (PrefersAnother(aContext)) {
    DropSource(aContext);
  }
  const Instant next = following.mAskedAt + kMinAskInterval;
  if (HearsSource(aContext) && aContext.mNow < next) {
    aContext.mState.mTimers.Arm(TimerKind::QueryPeer, 0, next);
    return;
  }
  AskNext(aContext);
}

void
HandlePeerLost(Context& aContext)
{
  if (!aContext.mState.mFleet.mFollowing.mWaits) {
    return;
  }
  NoteNoAnswer(aContext, "its connection ended");
  if (aContext.mState.mFleet.mFollowing.mSource.empty()) {
    HastenTables(aContext);
  }
  AskNext(aContext);
}

}
