#include "Shell/MetricFamilies.h"

#include <limits>
#include <utility>

namespace camphorstep {

namespace {

prometheus::MetricFamily
MakeFamily(std::string aName, std::string aHelp, prometheus::MetricType aType)
{
  prometheus::MetricFamily family;
  family.name = std::move(aName);
  family.help = std::move(aHelp);
  family.type = aType;
  return family;
}

}

prometheus::MetricFamily
MakeCounter(std::string aName,
            std::string aHelp,
            const std::vector<MetricSample>& aSamples)
{
  prometheus::MetricFamily family = MakeFamily(
    std::move(aName), std::move(aHelp), prometheus::MetricType::Counter);
  for (const MetricSample& sample : aSamples) {
    prometheus::ClientMetric metric;
    metric.label = sample.mLabels;
    metric.counter.value = static_cast<double>(sample.mValue);
    family.metric.push_back(metric);
  }
  return family;
}

prometheus::MetricFamily
MakeGauge(std::string aName,
          std::string aHelp,
          const std::vector<MetricSample>& aSamples)
{
  prometheus::MetricFamily family = MakeFamily(
    std::move(aName), std::move(aHelp), prometheus::MetricType::Gauge);
  for (const MetricSample& sample : aSamples) {
    prometheus::ClientMetric metric;
    metric.label = sample.mLabels;
    metric.gauge.value = static_cast<double>(sample.mValue);
    family.metric.push_back(metric);
  }
  return family;
}

prometheus::ClientMetric
MakeHistogram(Rank aRank, const LatencyHistogram& aLatency)
{
  using Seconds = std::chrono::duration<double>;
  prometheus::ClientMetric metric;
  metric.label = { { "rank", std::string(NameOf(aRank)) } };
  metric.histogram.sample_count = aLatency.mCount;
  metric.histogram.sample_sum = Seconds(aLatency.mSum).count();
  std::uint64_t cumulative = 0;
  for (std::size_t n = 0; n < kLatencyBounds.size(); ++n) {
    cumulative += aLatency.mBuckets[n];
    metric.histogram.bucket.push_back(
      { cumulative, Seconds(kLatencyBounds[n]).count() });
  }
  metric.histogram.bucket.push_back(
    { aLatency.mCount, std::numeric_limits<double>::infinity() });
  return metric;
}

}
