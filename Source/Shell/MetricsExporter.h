#pragma once

#include <memory>
#include <vector>

#include <prometheus/collectable.h>
#include <prometheus/exposer.h>

#include "Model/Topology.h"
#include "Shell/StatusSnapshot.h"

namespace camphorstep {

/// Serves the counters to Prometheus at /metrics.
class MetricsExporter
{
public:
  MetricsExporter(const Address& aAddress, const StatusBoard& aBoard);

private:
  std::shared_ptr<prometheus::Collectable> mCollector;
  prometheus::Exposer mExposer;
};

}
