#include "Group/Takeover.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Catalogue/Tables.h"
#include "Common/NamedEnum.h"
#include "Fleet/Silence.h"
#include "Gateway/Tuning.h"
#include "Group/Copies.h"
#include "Group/Fencing.h"
#include "Group/Promoter.h"
#include "Group/Sampling.h"

namespace camphorstep::gateway {

namespace {

/// How long a promoted candidate may take to become primary before fencing
/// starts again. The replicas must be paused again before they are evidence for
/// the old primary: the candidate may have crashed before anybody saw it lead.
constexpr Duration kVerifyTimeout = 1'500ms;
static_assert(kVerifyTimeout + kStatusTimeout < kEvidenceProbation);
/// How long after the store's return a server's entry may be missing.
constexpr Duration kEntryReturnTimeout = 3s;
/// Connections that a server's machine refuses in a row before the server
/// counts as down.
constexpr std::uint32_t kRefusalsUntilDown = 2;

constexpr std::array kReasonNames{
  EnumName<TakeoverReason>{ TakeoverReason::NoPrimary, "group has no primary" },
  EnumName<TakeoverReason>{ TakeoverReason::Silent, "primary is silent" },
  EnumName<TakeoverReason>{ TakeoverReason::SilentToMany,
                            "primary is silent to half of the hosts" },
  EnumName<TakeoverReason>{ TakeoverReason::Leaving, "primary is leaving" },
  EnumName<TakeoverReason>{ TakeoverReason::NotReplicating,
                            "primary reaches no replica" },
  EnumName<TakeoverReason>{ TakeoverReason::Interrupted,
                            "another promoter left the replicas paused" },
};

bool
IsDown(const Context& aContext, const Backend& aBackend)
{
  // During a stall this host could not receive messages, and before it became
  // the promoter it did not send any.
  const Instant lastContact =
    std::max({ aBackend.mLastReceivedAt,
               aContext.mState.mResumedAt,
               aContext.mState.mPromoter.mHeldSince });
  return aContext.mNow - lastContact > kPrimarySilenceTimeout ||
         (aBackend.mRefusals >= kRefusalsUntilDown && !aBackend.mControlLink);
}

/// Whether another server with a recent status, which is not leaving, could
/// become primary.
bool
HasSuccessor(const Context& aContext, const Group& aGroup)
{
  return std::any_of(
    aGroup.mServers.begin(), aGroup.mServers.end(), [&](ServerId aId) {
      const Backend* const backend = Find(aContext.mState.mBackends, aId);
      return backend != nullptr && aId != aGroup.mPrimary &&
             !backend->mLeavingSince && HasRecentStatus(aContext, *backend);
    });
}

std::optional<TakeoverReason>
ReasonWithPrimary(const Context& aContext,
                  const Group& aGroup,
                  const Backend& aPrimary)
{
  if (IsDown(aContext, aPrimary)) {
    return TakeoverReason::Silent;
  }
  if (IsSilentToMany(aContext, aPrimary.mId)) {
    return TakeoverReason::SilentToMany;
  }
  if (aPrimary.mLeavingSince && HasSuccessor(aContext, aGroup)) {
    return TakeoverReason::Leaving;
  }
  if (aGroup.mReplicationStalledSince &&
      aContext.mNow - *aGroup.mReplicationStalledSince >
        kReplicationStallTimeout) {
    return TakeoverReason::NotReplicating;
  }
  if (CountPaused(aContext, aGroup) + 1 >= CountCopies(aGroup)) {
    return TakeoverReason::Interrupted;
  }
  return std::nullopt;
}

/// Returns why the primary of a group is to be replaced now; nothing if it is
/// not.
std::optional<TakeoverReason>
ReasonToReplace(Context& aContext, Group& aGroup)
{
  if (CountCopies(aGroup) < 2) {
    return std::nullopt;
  }
  if (const Backend* const primary =
        Find(aContext.mState.mBackends, aGroup.mPrimary)) {
    aGroup.mNoPrimarySince.reset();
    return ReasonWithPrimary(aContext, aGroup, *primary);
  }
  if (CountRecentStatuses(aContext, aGroup) + 1 < CountCopies(aGroup)) {
    aGroup.mNoPrimarySince.reset();
    return std::nullopt;
  }
  if (!aGroup.mNoPrimarySince) {
    aGroup.mNoPrimarySince = aContext.mNow;
  }
  if (aContext.mNow - *aGroup.mNoPrimarySince < kPrimarySilenceTimeout) {
    return std::nullopt;
  }
  return TakeoverReason::NoPrimary;
}

/// Notes that no promotion can have been requested if two servers are not
/// paused: before a promotion, all servers but one have to be.
void
NoteUnfenced(const Context& aContext, Group& aGroup)
{
  const PromoterState& promoter = aContext.mState.mPromoter;
  const auto unpaused = std::count_if(
    aGroup.mServers.begin(), aGroup.mServers.end(), [&](ServerId aId) {
      const Backend* const backend = Find(aContext.mState.mBackends, aId);
      return backend != nullptr && HasRecentStatus(aContext, *backend) &&
             backend->mStatusAskedAt > promoter.mHeldSince &&
             backend->mStatus->mPauseTerm == 0;
    });
  if (unpaused >= 2) {
    aGroup.mUnfencedToken = promoter.mFirstToken;
  }
}

void
SetPhase(Context& aContext, Group& aGroup, TakeoverPhase aPhase)
{
  aGroup.mTakeover.mPhase = aPhase;
  RequestUrgentSample(aContext, aGroup);
}

void
StartTakeover(Context& aContext, Group& aGroup, TakeoverReason aReason)
{
  const std::uint64_t token = aContext.mState.mPromoter.mLease.mToken;
  Takeover& takeover = aGroup.mTakeover;
  takeover = Takeover{};
  takeover.mReason = aReason;
  // The token makes the pauses of different promoters distinguishable.
  takeover.mFenceTerm = aGroup.mTerm + token;
  takeover.mOldTerm = aGroup.mTerm;
  takeover.mOldPrimary = aGroup.mPrimary;
  takeover.mStartedAt = aContext.mNow;
  aGroup.mNoPrimarySince.reset();
  aGroup.mReplicationStalledSince.reset();
  Log(aContext,
      LogSeverity::Warning,
      "replacing the primary",
      { { "group", aGroup.mName },
        { "reason", std::string(NameIn(kReasonNames, aReason)) },
        { "term", std::to_string(aGroup.mTerm) },
        { "fencing_token", std::to_string(token) },
        { "fence_term", std::to_string(takeover.mFenceTerm) } });
  SetPhase(aContext, aGroup, TakeoverPhase::Fencing);
  ContinueFencing(aContext, aGroup);
}

/// When a request to promote a server that is made now is given up. The lease
/// has not ended then.
Instant
OrderExpiry(const Context& aContext)
{
  return std::min(aContext.mNow + kPromoteTimeout,
                  aContext.mState.mPromoter.mHeldUntil);
}

/// How old the list of servers is that this host knows.
std::string
ServerListAge(const Context& aContext)
{
  const TableProgress& servers = aContext.mState.mCatalogue.mTables.at(
    static_cast<std::size_t>(Table::Servers));
  return Milliseconds(aContext.mNow - servers.mConfirmedAt);
}

std::string
ServerListVersion(const Context& aContext)
{
  return std::to_string(aContext.mState.mCatalogue.mTables
                          .at(static_cast<std::size_t>(Table::Servers))
                          .mVersion);
}

/// Logs an order to promote, with what the choice of the server rests on.
void
LogOrder(Context& aContext, const Group& aGroup, const Backend& aCandidate)
{
  const Takeover& takeover = aGroup.mTakeover;
  const PromoterLease& lease = aContext.mState.mPromoter.mLease;
  Log(
    aContext,
    LogSeverity::Warning,
    "asking the platform to promote a server",
    { { "group", aGroup.mName },
      { "server", aCandidate.mEntry.mName },
      { "received", Describe(aCandidate.mStatus->mReceived) },
      { "fencing_token", std::to_string(lease.mToken) },
      { "order", std::to_string(takeover.mOrder.mValue) },
      { "term", std::to_string(aGroup.mTerm) },
      { "fence_term", std::to_string(takeover.mFenceTerm) },
      { "lease_left_ms", Milliseconds(PromoterLeaseLeft(aContext)) },
      { "expires_in_ms", Milliseconds(OrderExpiry(aContext) - aContext.mNow) },
      { "copies", std::to_string(CountCopies(aGroup)) },
      { "paused", std::to_string(CountPaused(aContext, aGroup)) },
      { "statuses", DescribeStatuses(aContext, aGroup) },
      { "list_version", ServerListVersion(aContext) },
      { "list_age_ms", ServerListAge(aContext) },
      { "since_start_ms",
        Milliseconds(aContext.mNow - takeover.mStartedAt) } });
}

void
RequestPromotion(Context& aContext, Group& aGroup, const Backend& aCandidate)
{
  Takeover& takeover = aGroup.mTakeover;
  aGroup.mUnfencedToken.reset();
  takeover.mCandidate = aCandidate.mId;
  takeover.mIsFenceBroken = false;
  takeover.mCall = NewId<CallId>(aContext);
  takeover.mOrder = takeover.mCall;
  takeover.mOrderedAt = aContext.mNow;
  ++aContext.mState.mCounters.mPromotionOrders;
  LogOrder(aContext, aGroup, aCandidate);
  const PromoterLease& lease = aContext.mState.mPromoter.mLease;
  Emit(aContext,
       PromoteServer{ takeover.mCall,
                      aGroup.mName,
                      aCandidate.mEntry.mName,
                      lease.mHolder,
                      lease.mToken,
                      OrderExpiry(aContext) });
  SetPhase(aContext, aGroup, TakeoverPhase::Promoting);
}

/// Whether a primary that was silent has answered since the takeover started,
/// possibly as a server with another name, and can go on: it has not stepped
/// down, and neither this promoter nor an earlier one has requested a
/// promotion.
bool
HasPrimaryReturned(const Context& aContext, const Group& aGroup)
{
  const Takeover& takeover = aGroup.mTakeover;
  const Backend* const primary =
    Find(aContext.mState.mBackends, aGroup.mPrimary);
  const bool isUnfenced =
    aGroup.mUnfencedToken == aContext.mState.mPromoter.mFirstToken;
  return takeover.mReason == TakeoverReason::Silent && isUnfenced &&
         primary != nullptr && aGroup.mTerm == takeover.mOldTerm &&
         primary->mLastReceivedAt >= takeover.mStartedAt;
}

/// Leaves the primary in place. A replica that was paused is resumed later, as
/// after any interrupted takeover.
void
DropTakeover(Context& aContext, Group& aGroup)
{
  Log(aContext,
      LogSeverity::Info,
      "primary has answered and is kept",
      { { "group", aGroup.mName },
        { "term", std::to_string(aGroup.mTerm) },
        { "after_ms",
          Milliseconds(aContext.mNow - aGroup.mTakeover.mStartedAt) } });
  aGroup.mTakeover = Takeover{};
}

void
AdvanceFencing(Context& aContext, Group& aGroup)
{
  if (HasPrimaryReturned(aContext, aGroup)) {
    DropTakeover(aContext, aGroup);
    return;
  }
  ContinueFencing(aContext, aGroup);
  if (!IsFenced(aContext, aGroup, aGroup.mTakeover.mStartedAt)) {
    return;
  }
  aGroup.mTakeover.mFencedAt = aContext.mNow;
  SetPhase(aContext, aGroup, TakeoverPhase::AwaitingEvidenceExpiry);
}

/// Starts the takeover's fence anew, since writes may have been acknowledged.
void
RestartFencing(Context& aContext, Group& aGroup)
{
  ++aContext.mState.mCounters.mTakeoverRestarts;
  Log(aContext,
      LogSeverity::Warning,
      "a server was not paused before the promotion; pausing all again",
      { { "group", aGroup.mName },
        { "term", std::to_string(aGroup.mTerm) },
        { "order", std::to_string(aGroup.mTakeover.mOrder.mValue) },
        { "statuses", DescribeStatuses(aContext, aGroup) },
        { "since_start_ms",
          Milliseconds(aContext.mNow - aGroup.mTakeover.mStartedAt) } });
  SetPhase(aContext, aGroup, TakeoverPhase::Fencing);
  ContinueFencing(aContext, aGroup);
}

/// Logs, once for each takeover, that it waits for the list of servers.
void
LogListWait(Context& aContext, Group& aGroup)
{
  Takeover& takeover = aGroup.mTakeover;
  if (std::exchange(takeover.mIsListWaitLogged, true)) {
    return;
  }
  Log(aContext,
      LogSeverity::Info,
      "waiting for the list of servers before the promotion",
      { { "group", aGroup.mName },
        { "term", std::to_string(aGroup.mTerm) },
        { "list_version", ServerListVersion(aContext) },
        { "list_age_ms", ServerListAge(aContext) },
        { "since_start_ms",
          Milliseconds(aContext.mNow - takeover.mStartedAt) } });
}

/// Notes that a server is not paused although an order to promote was given,
/// and logs it if the order is underway.
void
NoteFenceBroken(Context& aContext, Group& aGroup)
{
  Takeover& takeover = aGroup.mTakeover;
  if (takeover.mIsFenceBroken || !IsFenceBroken(aContext, aGroup)) {
    return;
  }
  takeover.mIsFenceBroken = true;
  if (!takeover.mCall) {
    // The restart of the takeover is logged.
    return;
  }
  Log(aContext,
      LogSeverity::Warning,
      "a server is not paused after the order to promote",
      { { "group", aGroup.mName },
        { "term", std::to_string(aGroup.mTerm) },
        { "order", std::to_string(takeover.mOrder.mValue) },
        { "statuses", DescribeStatuses(aContext, aGroup) },
        { "since_order_ms",
          Milliseconds(aContext.mNow - takeover.mOrderedAt) } });
}

void
AdvanceEvidenceExpiry(Context& aContext, Group& aGroup)
{
  Takeover& takeover = aGroup.mTakeover;
  // A server that was not paused may have given evidence for the old primary,
  // so the wait starts again.
  if (IsFenceBroken(aContext, aGroup)) {
    RestartFencing(aContext, aGroup);
    return;
  }
  ContinueFencing(aContext, aGroup);
  const Instant waitEnd = takeover.mFencedAt + kEvidenceTimeout;
  if (aContext.mNow < waitEnd) {
    return;
  }
  if (!IsFenced(aContext, aGroup, waitEnd)) {
    if (aContext.mNow > waitEnd + kMaxFenceStatusAge) {
      SetPhase(aContext, aGroup, TakeoverPhase::Fencing);
    }
    return;
  }
  const Instant returned =
    ProgressOf(aContext, Table::Servers).mFailedCallAt + kEntryReturnTimeout;
  if (!IsTableConfirmedSince(
        aContext, Table::Servers, std::max(waitEnd, returned))) {
    // A server that was listed meanwhile may have acknowledged writes. After a
    // failure the table has its own time of the next call.
    if (!IsTableFailing(aContext, Table::Servers)) {
      PollTableSoon(aContext, Table::Servers);
    }
    LogListWait(aContext, aGroup);
    return;
  }
  if (const Backend* const candidate = BestCandidate(aContext, aGroup)) {
    RequestPromotion(aContext, aGroup, *candidate);
  }
}

void
AdvancePromoting(Context& aContext, Group& aGroup)
{
  Takeover& takeover = aGroup.mTakeover;
  NoteFenceBroken(aContext, aGroup);
  if (takeover.mCall) {
    StepDownOldPrimary(aContext, aGroup);
    return;
  }
  if (takeover.mIsFenceBroken) {
    RestartFencing(aContext, aGroup);
    return;
  }
  ContinueFencing(aContext, aGroup);
  if (aContext.mNow >= takeover.mCallAfter) {
    // The next call needs all that the first one did.
    SetPhase(aContext, aGroup, TakeoverPhase::AwaitingEvidenceExpiry);
  }
}

/// Whether the server that a promotion was requested for leads a newer term.
bool
IsCandidateLeading(const Group& aGroup)
{
  const Takeover& takeover = aGroup.mTakeover;
  return takeover.mCandidate && aGroup.mPrimary == takeover.mCandidate &&
         aGroup.mTerm > takeover.mOldTerm;
}

void
AdvanceVerifying(Context& aContext, Group& aGroup)
{
  Takeover& takeover = aGroup.mTakeover;
  if (IsCandidateLeading(aGroup)) {
    if (!EndPauses(aContext, aGroup)) {
      return;
    }
    ++aContext.mState.mCounters.mPromotions;
    Log(aContext,
        LogSeverity::Info,
        "primary is replaced",
        { { "group", aGroup.mName },
          { "term", std::to_string(aGroup.mTerm) },
          { "order", std::to_string(takeover.mOrder.mValue) },
          { "statuses", DescribeStatuses(aContext, aGroup) },
          { "took_ms", Milliseconds(aContext.mNow - takeover.mStartedAt) } });
    takeover = Takeover{};
    return;
  }
  if (aContext.mNow > takeover.mCallAfter + kVerifyTimeout) {
    SetPhase(aContext, aGroup, TakeoverPhase::Fencing);
  }
}

std::string_view
DescribeOutcome(CallOutcome aOutcome)
{
  switch (aOutcome) {
    case CallOutcome::Ok:
      return "promoted";
    case CallOutcome::Conflict:
      return "server is not running";
    case CallOutcome::Unknown:
      return "not confirmed";
    default:
      return "refused";
  }
}

/// Logs the outcome of the order to promote that a takeover waits for.
void
LogOrderAnswer(Context& aContext, const Group& aGroup, CallOutcome aOutcome)
{
  const Takeover& takeover = aGroup.mTakeover;
  const bool isPromoted = aOutcome == CallOutcome::Ok;
  const PromoterLease& lease = aContext.mState.mPromoter.mLease;
  Log(aContext,
      isPromoted ? LogSeverity::Info : LogSeverity::Warning,
      isPromoted ? "the platform has promoted the server"
                 : "the platform did not promote the server",
      { { "group", aGroup.mName },
        { "order", std::to_string(takeover.mCall.mValue) },
        { "fencing_token", std::to_string(lease.mToken) },
        { "outcome", std::string(DescribeOutcome(aOutcome)) },
        { "took_ms", Milliseconds(aContext.mNow - takeover.mOrderedAt) },
        { "lease_left_ms", Milliseconds(PromoterLeaseLeft(aContext)) } });
}

/// Logs the outcome of an order to promote that no takeover waits for: its
/// effect was seen before, or the change of primary was given up.
void
LogUnawaitedAnswer(Context& aContext, const PromoteAnswered& aAnswer)
{
  std::vector<LogValue> values{
    { "order", std::to_string(aAnswer.mCall.mValue) },
    { "outcome", std::string(DescribeOutcome(aAnswer.mOutcome)) },
    { "lease_left_ms", Milliseconds(PromoterLeaseLeft(aContext)) }
  };
  for (const auto& [id, group] : aContext.mState.mGroups) {
    const Takeover& takeover = group.mTakeover;
    if (takeover.mOrder == aAnswer.mCall) {
      values.push_back({ "group", group.mName });
      values.push_back(
        { "took_ms", Milliseconds(aContext.mNow - takeover.mOrderedAt) });
    }
  }
  Log(aContext,
      LogSeverity::Info,
      "an order to promote has ended that is not waited for",
      std::move(values));
}

}

void
AdvanceTakeover(Context& aContext, Group& aGroup)
{
  Takeover& takeover = aGroup.mTakeover;
  if (!HoldsPromoterLease(aContext)) {
    if (takeover.mPhase != TakeoverPhase::None) {
      Log(aContext,
          LogSeverity::Warning,
          "change of primary left to the next promoter",
          { { "group", aGroup.mName },
            { "term", std::to_string(aGroup.mTerm) },
            { "order", std::to_string(takeover.mOrder.mValue) },
            { "answered", takeover.mCall ? "no" : "yes" } });
      takeover = Takeover{};
    }
    return;
  }
  if (!aContext.mState.mPromoter.mHasReadCopies) {
    return;
  }
  if (IsCandidateLeading(aGroup) &&
      takeover.mPhase != TakeoverPhase::Verifying) {
    // The promotion took effect before its answer came, or without one.
    takeover.mCall = CallId{};
    takeover.mCallAfter = aContext.mNow;
    SetPhase(aContext, aGroup, TakeoverPhase::Verifying);
  }
  switch (takeover.mPhase) {
    case TakeoverPhase::None:
      NoteUnfenced(aContext, aGroup);
      if (const auto reason = ReasonToReplace(aContext, aGroup)) {
        StartTakeover(aContext, aGroup, *reason);
      } else {
        CleanUpAfterTakeover(aContext, aGroup);
      }
      break;
    case TakeoverPhase::Fencing:
      AdvanceFencing(aContext, aGroup);
      break;
    case TakeoverPhase::AwaitingEvidenceExpiry:
      AdvanceEvidenceExpiry(aContext, aGroup);
      break;
    case TakeoverPhase::Promoting:
      AdvancePromoting(aContext, aGroup);
      break;
    case TakeoverPhase::Verifying:
      AdvanceVerifying(aContext, aGroup);
      break;
  }
}

void
HandlePromoteAnswered(Context& aContext, const PromoteAnswered& aEvent)
{
  if (aEvent.mOutcome == CallOutcome::Unknown) {
    ++aContext.mState.mCounters.mOrdersUnanswered;
  }
  bool isAwaited = false;
  for (auto& [id, group] : aContext.mState.mGroups) {
    Takeover& takeover = group.mTakeover;
    if (takeover.mPhase != TakeoverPhase::Promoting ||
        takeover.mCall != aEvent.mCall) {
      continue;
    }
    isAwaited = true;
    LogOrderAnswer(aContext, group, aEvent.mOutcome);
    takeover.mCall = CallId{};
    takeover.mCallAfter = aContext.mNow + kPromoteRetryDelay;
    if (aEvent.mOutcome == CallOutcome::Unknown) {
      // The order may still take effect, which takes less than this wait.
      takeover.mFencedAt = aContext.mNow;
    }
    if (aEvent.mOutcome == CallOutcome::Ok) {
      takeover.mCallAfter = aContext.mNow;
      SetPhase(aContext, group, TakeoverPhase::Verifying);
    } else if (aEvent.mOutcome == CallOutcome::Conflict) {
      SetPhase(aContext, group, TakeoverPhase::Fencing);
    }
    RequestUrgentSample(aContext, group);
  }
  if (!isAwaited) {
    LogUnawaitedAnswer(aContext, aEvent);
  }
}

}
