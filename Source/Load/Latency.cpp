#include "Load/Latency.h"

#include <algorithm>
#include <cmath>

namespace camphorstep {

Duration
PercentileOf(std::vector<Duration> aLatencies, double aShare)
{
  if (aLatencies.empty()) {
    return Duration{ 0 };
  }
  const auto last = static_cast<double>(aLatencies.size() - 1);
  const auto rank = static_cast<std::ptrdiff_t>(std::lround(last * aShare));
  const auto it = aLatencies.begin() + rank;
  std::nth_element(aLatencies.begin(), it, aLatencies.end());
  return *it;
}

}
