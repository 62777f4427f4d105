#include "Load/Distance.h"

#include <chrono>
#include <functional>
#include <iostream>
#include <stdexcept>

#include "Load/HttpCaller.h"
#include "Load/Latency.h"
#include "Load/LinkControl.h"

namespace camphorstep {

namespace {

using Clock = std::chrono::steady_clock;

/// Links in the order of LoadSettings::mLinks.
constexpr std::size_t kRegionLink = 1;

/// What a series of calls saw.
struct Series
{
  std::vector<Duration> mLatencies;
  std::uint64_t mReplicaReads = 0;
  std::uint64_t mLinkBytes = 0;
};

/// Calls one after the other and keeps the session.
Series
RunSeries(const LoadSettings& aSettings,
          std::size_t aProxy,
          bool aWrite,
          Duration aDuration)
{
  HttpCaller caller(aSettings.mProxies.at(aProxy), aSettings.mTokens.front());
  Call call;
  call.mDatabase = aSettings.mDatabase;
  call.mText = aWrite ? "put distance 1" : "get distance";
  call.mWrite = aWrite;
  Series series;
  const Address& link = aSettings.mLinks.at(kRegionLink);
  const std::uint64_t before = ReadLinkBytes(link).Total();
  const Clock::time_point end = Clock::now() + aDuration;
  while (Clock::now() < end) {
    const Clock::time_point start = Clock::now();
    const CallResult result = caller.Execute(call);
    if (result.mOutcome != "done") {
      throw std::runtime_error("a proxy answered " +
                               std::to_string(result.mCode));
    }
    series.mLatencies.push_back(
      std::chrono::duration_cast<Duration>(Clock::now() - start));
    series.mReplicaReads += result.mReplica ? 1 : 0;
    call.mSession = result.mSession;
  }
  series.mLinkBytes = ReadLinkBytes(link).Total() - before;
  return series;
}

void
Report(const std::string& aName, const Series& aSeries)
{
  const auto calls = static_cast<double>(aSeries.mLatencies.size());
  std::cout << aName
            << "_p50_us=" << PercentileOf(aSeries.mLatencies, 0.5).count()
            << "\n"
            << aName
            << "_p99_us=" << PercentileOf(aSeries.mLatencies, 0.99).count()
            << "\n"
            << aName << "_region_bytes_each="
            << static_cast<double>(aSeries.mLinkBytes) / calls << "\n"
            << aName << "_replica_share="
            << static_cast<double>(aSeries.mReplicaReads) / calls << "\n";
}

}

void
RunDistance(const LoadSettings& aSettings)
{
  const std::size_t proxies = aSettings.mProxies.size();
  const Duration part =
    aSettings.mDuration / static_cast<std::int64_t>(3 * proxies);
  for (std::size_t n = 0; n < proxies; ++n) {
    const std::string host = "host" + std::to_string(n + 1);
    // Opens connections and gets the views going.
    RunSeries(aSettings, n, true, part / 2);
    Report(host + "_write", RunSeries(aSettings, n, true, part));
    Report(host + "_read", RunSeries(aSettings, n, false, part));
  }
}

}
