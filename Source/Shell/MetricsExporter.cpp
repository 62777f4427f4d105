#include "Shell/MetricsExporter.h"

#include <string>

#include "Shell/MetricFamilies.h"

namespace camphorstep {

namespace {

/// Listening threads of the exporter's HTTP server.
constexpr std::size_t kThreads = 2;

std::vector<MetricSample>
RankSamples(const Counters& aCounters)
{
  std::vector<MetricSample> samples;
  for (const Rank rank : kRanks) {
    const RankCounters& counts = aCounters.mRanks[IndexOf(rank)];
    const std::string name(NameOf(rank));
    samples.push_back(
      { { { "rank", name }, { "outcome", "done" } }, counts.mDone });
    samples.push_back(
      { { { "rank", name }, { "outcome", "not run" } }, counts.mNotRun });
    samples.push_back(
      { { { "rank", name }, { "outcome", "unknown" } }, counts.mUnknown });
  }
  return samples;
}

std::vector<MetricSample>
EntryRefusalSamples(const Counters& aCounters)
{
  std::vector<MetricSample> samples;
  for (const Rank rank : kRanks) {
    samples.push_back({ { { "rank", std::string(NameOf(rank)) } },
                        aCounters.mRanks[IndexOf(rank)].mRefusedAtEntry });
  }
  return samples;
}

prometheus::MetricFamily
MakeLatencies(const Counters& aCounters)
{
  prometheus::MetricFamily family;
  family.name = "camphorstep_request_seconds";
  family.help = "Time from a request's arrival to its answer, if it ran.";
  family.type = prometheus::MetricType::Histogram;
  for (const Rank rank : kRanks) {
    family.metric.push_back(
      MakeHistogram(rank, aCounters.mRanks[IndexOf(rank)].mLatency));
  }
  return family;
}

class Collector : public prometheus::Collectable
{
public:
  explicit Collector(const StatusBoard& aBoard)
    : mBoard(aBoard)
  {
  }

  std::vector<prometheus::MetricFamily> Collect() const override
  {
    const StatusSnapshot snapshot = mBoard.Get();
    const Counters& counters = snapshot.mCounters;
    const PeerTraffic& traffic = snapshot.mTraffic;
    return {
      MakeLatencies(counters),
      MakeCounter(
        "camphorstep_peer_sent_bytes_total",
        "Bytes sent to other hosts by where they stand.",
        { { { { "to", "same data centre" } }, traffic.mSameDataCentre },
          { { { "to", "same region" } }, traffic.mSameRegion },
          { { { "to", "other region" } }, traffic.mOtherRegion } }),
      MakeCounter("camphorstep_requests_total",
                  "Answered requests by rank and outcome.",
                  RankSamples(counters)),
      MakeCounter("camphorstep_entry_refusals_total",
                  "Requests refused because a dispatcher had no room.",
                  EntryRefusalSamples(counters)),
      MakeCounter("camphorstep_reads_total",
                  "Reads by the role of the server that served them.",
                  { { { { "role", "replica" } }, counters.mReplicaReads },
                    { { { "role", "primary" } }, counters.mPrimaryReads } }),
      MakeCounter("camphorstep_writes_total",
                  "Acknowledged writes.",
                  { { {}, counters.mWrites } }),
      MakeCounter("camphorstep_retries_total",
                  "Second and later attempts of requests.",
                  { { {}, counters.mRetries } }),
      MakeCounter("camphorstep_late_answers_total",
                  "Answers that nobody waited for any more.",
                  { { {}, counters.mLateAnswers } }),
      MakeCounter("camphorstep_server_connections_opened_total",
                  "Connections opened to backend servers.",
                  { { {}, counters.mConnectionsOpened } }),
      MakeCounter("camphorstep_server_connections_lost_total",
                  "Connections to backend servers that broke.",
                  { { {}, counters.mConnectionsLost } }),
      MakeCounter("camphorstep_promotions_total",
                  "Changes of primary that this host carried out.",
                  { { {}, counters.mPromotions } }),
    };
  }

private:
  const StatusBoard& mBoard;
};

}

MetricsExporter::MetricsExporter(const Address& aAddress,
                                 const StatusBoard& aBoard)
  : mCollector(std::make_shared<Collector>(aBoard))
  , mExposer(aAddress.mIp + ":" + std::to_string(aAddress.mPort), kThreads)
{
  mExposer.RegisterCollectable(mCollector);
}

}
