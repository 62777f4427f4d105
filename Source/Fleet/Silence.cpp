#include "Fleet/Silence.h"

#include "Gateway/Tuning.h"

namespace camphorstep::gateway {

namespace {

/// A host's word that a server is silent counts for this long.
constexpr Duration kSilenceReportTimeout = 1'500ms;

/// To how many hosts that ask this one a server is silent.
std::uint64_t
CountReportedHosts(const Context& aContext, ServerId aServer)
{
  const auto* const reports =
    Find(aContext.mState.mFleet.mSilenceReports, aServer);
  if (reports == nullptr) {
    return 0;
  }
  std::uint64_t n = 0;
  for (const auto& [host, report] : *reports) {
    const bool isFresh = aContext.mNow - report.mAt < kSilenceReportTimeout;
    n += isFresh ? report.mHosts : 0;
  }
  return n;
}

bool
IsSilentToThisHost(const Context& aContext, const Backend& aBackend)
{
  return aBackend.mLastTimeoutAt > aBackend.mLastReceivedAt &&
         aContext.mNow - aBackend.mLastTimeoutAt < kSilenceReportTimeout;
}

}

std::vector<SilentServer>
SilentServers(const Context& aContext)
{
  std::vector<SilentServer> silent;
  for (const auto& [id, backend] : aContext.mState.mBackends) {
    const std::uint64_t n = CountReportedHosts(aContext, id) +
                            (IsSilentToThisHost(aContext, backend) ? 1 : 0);
    if (n > 0) {
      silent.push_back({ id, n });
    }
  }
  return silent;
}

void
NoteSilentServers(Context& aContext, const PeerQuery& aQuery)
{
  for (const SilentServer& server : aQuery.mSilent) {
    aContext.mState.mFleet.mSilenceReports[server.mServer][aQuery.mHost] = {
      server.mHosts, aContext.mNow
    };
  }
}

bool
IsSilentToMany(const Context& aContext, ServerId aServer)
{
  const std::size_t all = aContext.mState.mCatalogue.mHosts.size();
  return all >= 2 && 2 * CountReportedHosts(aContext, aServer) >= all;
}

}
