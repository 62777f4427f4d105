#include "Shell/GatewayMetrics.h"

#include <vector>

#include <prometheus/text_serializer.h>

#include "Shell/MetricFamilies.h"

namespace camphorstep {

namespace {

std::vector<MetricSample>
StatementSamples(const gateway::Counters& aCounters)
{
  std::vector<MetricSample> samples;
  for (const Rank rank : kRanks) {
    const gateway::StatementCounters& counts = aCounters.mRanks[IndexOf(rank)];
    const std::string name(NameOf(rank));
    samples.push_back(
      { { { "rank", name }, { "outcome", "done" } }, counts.mServed });
    samples.push_back(
      { { { "rank", name }, { "outcome", "not run" } }, counts.mNotRun });
    samples.push_back(
      { { { "rank", name }, { "outcome", "unknown" } }, counts.mUnknown });
    samples.push_back(
      { { { "rank", name }, { "outcome", "failed" } }, counts.mFailed });
  }
  return samples;
}

prometheus::MetricFamily
MakeLatencies(const gateway::Counters& aCounters)
{
  prometheus::MetricFamily family;
  family.name = "camphorstep_statement_seconds";
  family.help = "Time from a statement's arrival to its answer, if it ran.";
  family.type = prometheus::MetricType::Histogram;
  for (const Rank rank : kRanks) {
    family.metric.push_back(
      MakeHistogram(rank, aCounters.mRanks[IndexOf(rank)].mLatency));
  }
  return family;
}

std::vector<MetricSample>
RefusalSamples(const gateway::RefusalCounters& aCounters)
{
  return {
    { { { "reason", "unknown key" } }, aCounters.mUnknownKey },
    { { { "reason", "key of another account" } }, aCounters.mOtherAccount },
    { { { "reason", "configuration out of date" } }, aCounters.mOutOfDate },
  };
}

std::vector<MetricSample>
TableCallSamples(const gateway::Counters& aCounters)
{
  std::vector<MetricSample> samples;
  for (const auto& name : gateway::kStoreCallReasonNames) {
    samples.push_back(
      { { { "reason", std::string(name.mName) } },
        aCounters.mTableCalls.at(static_cast<std::size_t>(name.mValue)) });
  }
  return samples;
}

/// Counters without labels.
std::vector<prometheus::MetricFamily>
PlainCounters(const gateway::Counters& aCounters)
{
  return {
    MakeCounter("camphorstep_sessions_opened_total",
                "Sessions that callers have opened.",
                { { {}, aCounters.mSessions } }),
    MakeCounter("camphorstep_retries_total",
                "Second and later attempts of statements.",
                { { {}, aCounters.mRetries } }),
    MakeCounter("camphorstep_server_connections_opened_total",
                "Connections opened to backend servers.",
                { { {}, aCounters.mLinksOpened } }),
    MakeCounter("camphorstep_server_connections_lost_total",
                "Connections to backend servers that broke.",
                { { {}, aCounters.mLinksLost } }),
    MakeCounter("camphorstep_status_requests_total",
                "Status requests and orders sent to backend servers.",
                { { {}, aCounters.mStatusRequests } }),
    MakeCounter("camphorstep_control_connections_opened_total",
                "Connections opened to backend servers for status requests.",
                { { {}, aCounters.mControlLinksOpened } }),
    MakeCounter("camphorstep_control_connections_silent_total",
                "Connections for status requests that were given up because "
                "the server was silent.",
                { { {}, aCounters.mControlLinksSilent } }),
    MakeCounter("camphorstep_promotions_total",
                "Changes of primary that this host carried out.",
                { { {}, aCounters.mPromotions } }),
    MakeCounter("camphorstep_promotion_orders_total",
                "Orders to promote a server that this host gave.",
                { { {}, aCounters.mPromotionOrders } }),
    MakeCounter("camphorstep_promotion_orders_unanswered_total",
                "Orders to promote a server that had no clear answer.",
                { { {}, aCounters.mOrdersUnanswered } }),
    MakeCounter("camphorstep_takeover_restarts_total",
                "Changes of primary that paused all servers again because one "
                "was not paused.",
                { { {}, aCounters.mTakeoverRestarts } }),
    MakeCounter(
      "camphorstep_commits_withheld_total",
      "Commits whose answer was not passed on, by reason.",
      { { { { "reason", "term ended" } }, aCounters.mCommitsOfEndedTerm },
        { { { "reason", "no evidence" } }, aCounters.mCommitsUnproved } }),
    MakeCounter(
      "camphorstep_limited_operations_total",
      "Operations of client accounts with a limit, by what came of them.",
      { { { { "outcome", "allowed" } }, aCounters.mRateLimits.mAllowed },
        { { { "outcome", "refused" } }, aCounters.mRateLimits.mRefused } }),
    MakeCounter("camphorstep_limit_tokens_given_total",
                "Operations that this host allowed other hosts.",
                { { {}, aCounters.mRateLimits.mGiven } }),
    MakeCounter("camphorstep_sessions_relayed_total",
                "Sessions that were passed on to the owners of connections.",
                { { {}, aCounters.mSessionsRelayed } }),
    MakeCounter("camphorstep_sessions_taken_over_total",
                "Sessions that other hosts passed on to this one.",
                { { {}, aCounters.mSessionsTakenOver } }),
    MakeCounter("camphorstep_statements_relayed_total",
                "Statements that were passed on.",
                { { {}, aCounters.mStatementsRelayed } }),
    MakeCounter(
      "camphorstep_statements_interrupted_total",
      "Statements whose owner was lost, by outcome.",
      { { { { "outcome", "not run" } }, aCounters.mRelayInterruptions.mNotRun },
        { { { "outcome", "unknown" } },
          aCounters.mRelayInterruptions.mUnknown } }),
    MakeCounter("camphorstep_relay_fallbacks_total",
                "Sessions that their owner did not open and that ran here.",
                { { {}, aCounters.mRelayFallbacks } }),
    MakeCounter("camphorstep_owners_passed_over_total",
                "How often an owner of connections was passed over.",
                { { {}, aCounters.mOwnersPassedOver } }),
    MakeCounter("camphorstep_sessions_refused_total",
                "Sessions that were refused for the caller's key, by reason.",
                RefusalSamples(aCounters.mRefusedSessions)),
    MakeCounter("camphorstep_statements_refused_total",
                "Statements that were refused for the caller's key, by reason.",
                RefusalSamples(aCounters.mRefusedStatements)),
    MakeCounter("camphorstep_server_connections_replaced_total",
                "Idle connections that were closed so that another client "
                "account could open one.",
                { { {}, aCounters.mLinksClosedForOthers } }),
    MakeCounter("camphorstep_store_calls_total",
                "Calls to the platform's store.",
                { { {}, aCounters.mStoreCalls } }),
    MakeCounter("camphorstep_table_calls_total",
                "Calls to the platform's store for tables, by reason.",
                TableCallSamples(aCounters)),
    MakeCounter("camphorstep_table_bytes_total",
                "Bytes of the store's answers to calls for tables.",
                { { {}, aCounters.mTableBytes } }),
  };
}

prometheus::MetricFamily
MakeRefusals(const CallerCounters& aCallers)
{
  return MakeCounter(
    "camphorstep_callers_refused_total",
    "Callers' connections that were refused or closed, by reason.",
    { { { { "reason", "no memory" } }, aCallers.mRefusedForMemory },
      { { { "reason", "no descriptors" } }, aCallers.mRefusedForDescriptors },
      { { { "reason", "held the most" } }, aCallers.mClosedForMemory },
      { { { "reason", "not opened" } }, aCallers.mOverdueOpenings },
      { { { "reason", "message not finished" } }, aCallers.mOverdueMessages },
      { { { "reason", "answer not read" } }, aCallers.mUnreadAnswers } });
}

std::vector<prometheus::MetricFamily>
Gauges(const gateway::State& aState)
{
  return {
    MakeGauge("camphorstep_configuration_version",
              "The configuration in force.",
              { { {}, aState.mCatalogue.mRoutingVersion } }),
    MakeGauge("camphorstep_client_accounts",
              "The client accounts in force.",
              { { {},
                  aState.mCatalogue.mAccounts
                    ? aState.mCatalogue.mAccounts->mRules.mAccounts.size()
                    : 0 } }),
    MakeGauge("camphorstep_configuration_out_of_date",
              "Whether callers with a key are refused because the "
              "configuration has not been confirmed in time.",
              { { {}, aState.mCatalogue.mIsOutOfDate ? 1U : 0U } }),
    MakeGauge("camphorstep_open_sessions",
              "Sessions that callers hold.",
              { { {}, aState.mSessions.size() } }),
    MakeGauge("camphorstep_relayed_sessions",
              "Sessions that this host passes on to owners.",
              { { {}, aState.mRelays.mSessions.size() } }),
    MakeGauge("camphorstep_server_connections",
              "Connections to backend servers.",
              { { {}, aState.mLinks.size() } }),
    MakeGauge("camphorstep_ready",
              "Whether the host takes new callers.",
              { { {}, aState.mReady ? 1U : 0U } }),
  };
}

}

std::string
MetricsText(const gateway::State& aState, const CallerCounters& aCallers)
{
  const gateway::Counters& counters = aState.mCounters;
  std::vector<prometheus::MetricFamily> families = PlainCounters(counters);
  families.push_back(MakeLatencies(counters));
  families.push_back(MakeCounter("camphorstep_statements_total",
                                 "Answered statements by rank and outcome.",
                                 StatementSamples(counters)));
  families.push_back(
    MakeCounter("camphorstep_reads_total",
                "Reads by the role of the server that served them.",
                { { { { "role", "replica" } }, counters.mReplicaReads },
                  { { { "role", "primary" } }, counters.mPrimaryReads } }));
  families.push_back(MakeRefusals(aCallers));
  families.push_back(MakeGauge("camphorstep_caller_memory_bytes",
                               "What callers' connections and sessions hold.",
                               { { {}, aCallers.mHeldBytes } }));
  for (prometheus::MetricFamily& family : Gauges(aState)) {
    families.push_back(std::move(family));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}
