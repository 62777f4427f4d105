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
constexpr Duration kAnswerTimeout = 150ms;
/// A report of which a part has arrived is given up when nothing more arrives
/// for this long. A large one takes a while on a thin link.
constexpr Duration kPartTimeout = 500ms;
/// The least time between two queries of a source that answers.
constexpr Duration kMinQueryInterval = 50ms;
/// A better source than the one that answers is tried after this time.
constexpr Duration kSourceSwitchDelay = 5s;
/// How often a host without a source looks for one.
constexpr Duration kSourceSearchInterval = 250ms;

Duration
MaxQueryWait(const SourceState& aFollowing)
{
  // A source that may be gone has to show at once that it answers.
  return aFollowing.mIsResponsive ? kLongPollTimeout : Duration{ 0 };
}

/// When a pending query is given up.
Instant
QueryDeadline(const SourceState& aSource)
{
  const Instant due = aSource.mAskedAt + MaxQueryWait(aSource) + kAnswerTimeout;
  return aSource.mLastPartAt
           ? std::max(due, *aSource.mLastPartAt + kPartTimeout)
           : due;
}

void
QuerySource(Context& aContext, const HostEntry& aSource)
{
  State& state = aContext.mState;
  SourceState& sourceState = state.mFleet.mSourceState;
  PeerQuery query;
  query.mNumber = ++sourceState.mLastQueryNumber;
  query.mHost = state.mSelf.mEntry.mName;
  query.mMaxWait = MaxQueryWait(sourceState);
  query.mSequence = sourceState.mSequence;
  for (std::size_t n = 0; n < kTableCount; ++n) {
    const TableProgress& table = state.mCatalogue.mTables.at(n);
    query.mVersions.at(n) = table.mKnown ? table.mVersion : 0;
  }
  query.mSilent = SilentServers(aContext);
  sourceState.mAskedAt = aContext.mNow;
  sourceState.mLastPartAt.reset();
  sourceState.mIsQueryPending = true;
  const bool isNew = !sourceState.mIsResponsive;
  state.mTimers.Arm(TimerKind::QueryPeer, 0, QueryDeadline(sourceState));
  Emit(aContext,
       SendPeerQuery{ aSource.mPeerAddress, isNew, std::move(query) });
}

void
ChooseSource(Context& aContext, const HostEntry& aSource)
{
  SourceState& sourceState = aContext.mState.mFleet.mSourceState;
  sourceState.mSource = aSource.mName;
  sourceState.mChosenAt = aContext.mNow;
  sourceState.mLastReceivedAt = aContext.mNow;
  sourceState.mIsResponsive = false;
  sourceState.mSequence = 0;
  Log(aContext,
      LogSeverity::Info,
      "querying a host for reports",
      { { "host", aSource.mName }, { "data_centre", aSource.mDataCentre } });
}

/// Asks the source once more, or gives it up if it had been asked so.
void
HandleFailedQuery(Context& aContext, const std::string& aReason)
{
  SourceState& sourceState = aContext.mState.mFleet.mSourceState;
  if (sourceState.mIsResponsive) {
    sourceState.mIsResponsive = false;
    sourceState.mIsQueryPending = false;
    return;
  }
  BackOffSource(aContext, aReason);
}

/// The store has to be asked when nobody tells this host of it.
void
PollAllTables(Context& aContext)
{
  for (std::size_t n = 0; n < kTableCount; ++n) {
    PollTableSoon(aContext, static_cast<Table>(n));
  }
}

/// Whether a host that should be asked rather than the present source has had
/// time to come back.
bool
HasBetterSource(const Context& aContext)
{
  const SourceState& sourceState = aContext.mState.mFleet.mSourceState;
  if (aContext.mNow - sourceState.mChosenAt < kSourceSwitchDelay) {
    return false;
  }
  const HostEntry* const best = BestSource(aContext);
  return best != nullptr && best->mName != sourceState.mSource;
}

/// Whether the host that reported may stay the source. One that does not
/// precede this host was chosen as the promoter only. If it has lost the lease
/// it may query this host itself, and then neither would learn anything.
bool
IsSuitableSource(const Context& aContext, const PeerReport& aReport)
{
  const State& state = aContext.mState;
  const HostEntry* const source =
    Find(state.mCatalogue.mHosts, state.mFleet.mSourceState.mSource);
  return aReport.mIsPromoter ||
         (source != nullptr && PrecedesInDataCentre(aContext, *source));
}

/// Asks the source; without one, the best candidate becomes the source.
void
QueryNextSource(Context& aContext)
{
  const State& state = aContext.mState;
  const SourceState& sourceState = state.mFleet.mSourceState;
  const HostEntry* source = Find(state.mCatalogue.mHosts, sourceState.mSource);
  if (source == nullptr) {
    source = BestSource(aContext);
    if (source == nullptr) {
      DropSource(aContext);
      aContext.mState.mTimers.Arm(
        TimerKind::QueryPeer, 0, aContext.mNow + kSourceSearchInterval);
      return;
    }
    ChooseSource(aContext, *source);
  }
  QuerySource(aContext, *source);
}

}

void
FollowSource(Context& aContext)
{
  SourceState& sourceState = aContext.mState.mFleet.mSourceState;
  if (HoldsPromoterLease(aContext)) {
    DropSource(aContext);
    aContext.mState.mTimers.Arm(
      TimerKind::QueryPeer, 0, aContext.mNow + kSourceSearchInterval);
    return;
  }
  const Instant due = QueryDeadline(sourceState);
  if (sourceState.mIsQueryPending && aContext.mNow < due) {
    aContext.mState.mTimers.Arm(TimerKind::QueryPeer, 0, due);
    return;
  }
  if (sourceState.mIsQueryPending) {
    HandleFailedQuery(aContext, "no answer in time");
    if (sourceState.mSource.empty()) {
      PollAllTables(aContext);
    }
  }
  QueryNextSource(aContext);
}

void
HandlePeerReportArriving(Context& aContext)
{
  SourceState& sourceState = aContext.mState.mFleet.mSourceState;
  if (sourceState.mIsQueryPending) {
    sourceState.mLastPartAt = aContext.mNow;
  }
}

void
HandlePeerReported(Context& aContext, const PeerReport& aReport)
{
  SourceState& sourceState = aContext.mState.mFleet.mSourceState;
  if (!sourceState.mIsQueryPending ||
      aReport.mNumber != sourceState.mLastQueryNumber) {
    // How old a late report's news are is not known.
    return;
  }
  sourceState.mIsQueryPending = false;
  sourceState.mIsResponsive = true;
  sourceState.mLastReceivedAt = aContext.mNow;
  sourceState.mSequence = aReport.mSequence;
  sourceState.mBackoffs.erase(sourceState.mSource);
  const Duration held = std::clamp(
    aReport.mHeld, Duration{ 0 }, aContext.mNow - sourceState.mAskedAt);
  ApplyReport(aContext, aReport, sourceState.mAskedAt + held);
  if (aContext.mState.mFleet.mSequence !=
      aContext.mState.mFleet.mSharedSequence) {
    AnswerPendingQueries(aContext);
  }
  if (HoldsPromoterLease(aContext)) {
    return;
  }
  if (!IsSuitableSource(aContext, aReport)) {
    BackOffSource(aContext, "it is no longer the promoter");
    PollAllTables(aContext);
  } else if (HasBetterSource(aContext)) {
    DropSource(aContext);
  }
  const Instant next = sourceState.mAskedAt + kMinQueryInterval;
  if (HasResponsiveSource(aContext) && aContext.mNow < next) {
    aContext.mState.mTimers.Arm(TimerKind::QueryPeer, 0, next);
    return;
  }
  QueryNextSource(aContext);
}

void
HandlePeerLost(Context& aContext)
{
  if (!aContext.mState.mFleet.mSourceState.mIsQueryPending) {
    return;
  }
  HandleFailedQuery(aContext, "its connection ended");
  if (aContext.mState.mFleet.mSourceState.mSource.empty()) {
    PollAllTables(aContext);
  }
  QueryNextSource(aContext);
}

}
