#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <prometheus/metric_family.h>

#include "Model/Profile.h"
#include "Reducer/LatencyHistogram.h"

namespace camphorstep {

/// One sample of a counter with its labels.
struct MetricSample
{
  std::vector<prometheus::ClientMetric::Label> mLabels;
  std::uint64_t mValue = 0;
};

prometheus::MetricFamily MakeCounter(std::string aName,
                                     std::string aHelp,
                                     const std::vector<MetricSample>& aSamples);

prometheus::MetricFamily MakeGauge(std::string aName,
                                   std::string aHelp,
                                   const std::vector<MetricSample>& aSamples);

/// One rank's latencies as a Prometheus histogram, in seconds.
prometheus::ClientMetric MakeHistogram(Rank aRank,
                                       const LatencyHistogram& aLatency);

}
