#include "Group/TakeoverLog.h"

#include <array>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Common/NamedEnum.h"
#include "Group/Copies.h"
#include "Group/Fencing.h"
#include "Group/Promoter.h"

namespace camphorstep::gateway {

namespace {

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

}

void
LogTakeoverStart(Context& aContext, const Group& aGroup)
{
  const Takeover& takeover = aGroup.mTakeover;
  const std::uint64_t token = aContext.mState.mPromoter.mLease.mToken;
  Log(aContext,
      LogSeverity::Warning,
      "replacing the primary",
      { { "group", aGroup.mName },
        { "reason", std::string(NameIn(kReasonNames, takeover.mReason)) },
        { "term", std::to_string(aGroup.mTerm) },
        { "fencing_token", std::to_string(token) },
        { "fence_term", std::to_string(takeover.mFenceTerm) } });
}

void
LogSteppedDown(Context& aContext, const Group& aGroup)
{
  const Takeover& takeover = aGroup.mTakeover;
  Log(aContext,
      LogSeverity::Info,
      "primary has stepped down",
      { { "group", aGroup.mName },
        { "term", std::to_string(aGroup.mTerm) },
        { "statuses", DescribeStatuses(aContext, aGroup) },
        { "since_start_ms",
          Milliseconds(aContext.mNow - takeover.mStartedAt) } });
}

void
LogHandoverFailed(Context& aContext, const Group& aGroup)
{
  const Takeover& takeover = aGroup.mTakeover;
  Log(aContext,
      LogSeverity::Warning,
      "primary cannot hand over; pausing all servers",
      { { "group", aGroup.mName },
        { "term", std::to_string(aGroup.mTerm) },
        { "stepped_down", takeover.mSteppedDownAt ? "yes" : "no" },
        { "statuses", DescribeStatuses(aContext, aGroup) },
        { "since_start_ms",
          Milliseconds(aContext.mNow - takeover.mStartedAt) } });
}

void
LogTakeoverLeft(Context& aContext, const Group& aGroup)
{
  const Takeover& takeover = aGroup.mTakeover;
  Log(aContext,
      LogSeverity::Warning,
      "change of primary left to the next promoter",
      { { "group", aGroup.mName },
        { "term", std::to_string(aGroup.mTerm) },
        { "order", std::to_string(takeover.mOrder.mValue) },
        { "answered", takeover.mCall ? "no" : "yes" } });
}

void
LogPrimaryKept(Context& aContext, const Group& aGroup)
{
  Log(aContext,
      LogSeverity::Info,
      "primary has answered and is kept",
      { { "group", aGroup.mName },
        { "term", std::to_string(aGroup.mTerm) },
        { "after_ms",
          Milliseconds(aContext.mNow - aGroup.mTakeover.mStartedAt) } });
}

void
LogPrimaryReplaced(Context& aContext, const Group& aGroup)
{
  const Takeover& takeover = aGroup.mTakeover;
  Log(aContext,
      LogSeverity::Info,
      "primary is replaced",
      { { "group", aGroup.mName },
        { "term", std::to_string(aGroup.mTerm) },
        { "order", std::to_string(takeover.mOrder.mValue) },
        { "statuses", DescribeStatuses(aContext, aGroup) },
        { "took_ms", Milliseconds(aContext.mNow - takeover.mStartedAt) } });
}

void
LogFencingRestart(Context& aContext, const Group& aGroup)
{
  Log(aContext,
      LogSeverity::Warning,
      "a server was not paused before the promotion; pausing all again",
      { { "group", aGroup.mName },
        { "term", std::to_string(aGroup.mTerm) },
        { "order", std::to_string(aGroup.mTakeover.mOrder.mValue) },
        { "statuses", DescribeStatuses(aContext, aGroup) },
        { "since_start_ms",
          Milliseconds(aContext.mNow - aGroup.mTakeover.mStartedAt) } });
}

void
LogFenceBroken(Context& aContext, const Group& aGroup)
{
  const Takeover& takeover = aGroup.mTakeover;
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
LogListWait(Context& aContext, const Group& aGroup)
{
  const Takeover& takeover = aGroup.mTakeover;
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

void
LogOrder(Context& aContext,
         const Group& aGroup,
         const Backend& aCandidate,
         Instant aExpiry)
{
  const Takeover& takeover = aGroup.mTakeover;
  const PromoterLease& lease = aContext.mState.mPromoter.mLease;
  Log(aContext,
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
        { "expires_in_ms", Milliseconds(aExpiry - aContext.mNow) },
        { "copies", std::to_string(CountCopies(aGroup)) },
        { "paused", std::to_string(CountPaused(aContext, aGroup)) },
        { "statuses", DescribeStatuses(aContext, aGroup) },
        { "list_version", ServerListVersion(aContext) },
        { "list_age_ms", ServerListAge(aContext) },
        { "since_start_ms",
          Milliseconds(aContext.mNow - takeover.mStartedAt) } });
}

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
