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
    MakeCounter("camphorstep_error_retries_total",
                "Reads that were sent once more after a server's error.",
                { { {}, aCounters.mErrorRetries } }),
    MakeCounter("camphorstep_server_ejections_total",
                "Times that a server got no new reads because it failed "
                "statements.",
                { { {}, aCounters.mEjections } }),
    MakeCounter("camphorstep_server_trials_total",
                "Trial reads sent to such servers.",
                { { {}, aCounters.mTrials } }),
    MakeCounter("camphorstep_server_readmissions_total",
                "Times that such a server got reads again.",
                { { {}, aCounters.mReadmissions } }),
    MakeCounter("camphorstep_server_connections_opened_total",
                "Connections opened to backend servers.",
                { { {}, aCounters.mLinksOpened } }),
    MakeCounter("camphorstep_server_connections_lost_total",
                "Connections to backend servers that broke.",
                { { {}, aCounters.mLinksLost } }),
    MakeCounter("camphorstep_status_requests_total",
                "Status requests and orders sent to backend servers.",
                { { {}, aCounters.mStatusRequests } }),
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
    MakeCounter("camphorstep_store_calls_total",
                "Calls to the platform's store.",
                { { {}, aCounters.mStoreCalls } }),
  };
}

std::vector<prometheus::MetricFamily>
Gauges(const gateway::State& aState)
{
  return {
    MakeGauge("camphorstep_configuration_version",
              "The configuration in force.",
              { { {}, aState.mCatalogue.mRoutingVersion } }),
    MakeGauge("camphorstep_open_sessions",
              "Sessions that callers hold.",
              { { {}, aState.mSessions.size() } }),
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
MetricsText(const gateway::State& aState)
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
  for (prometheus::MetricFamily& family : Gauges(aState)) {
    families.push_back(std::move(family));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}
