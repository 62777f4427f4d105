#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "Support/Cluster.h"
#include "Support/Workload.h"

using namespace camphorstep;
using namespace camphorstep::testing;

namespace {

/// The delays of messages differ from seed to seed.
constexpr std::uint64_t kSeedsPerSequence = 5;

enum class FaultKind : std::uint8_t
{
  ServerDown,
  ServerCutOff,
  PrimaryDown,
  PrimaryCutOff,
  HostCutFromServer,
  HostsCut,
  HostPaused,
  HostRestarted,
  ConnectionsSilent,
  SwitchOver,
  PrimaryIsolated,
  PrimaryShunned,
  Count
};

/// A fault, its targets, its duration, and the delay after the preceding fault.
struct Fault
{
  FaultKind mKind = FaultKind::ServerDown;
  std::size_t mFirst = 0;
  std::size_t mSecond = 0;
  int mDurationMs = 0;
  int mDelayMs = 0;
};

std::ostream&
operator<<(std::ostream& aOut, const Fault& aFault)
{
  return aOut << "{kind " << static_cast<int>(aFault.mKind) << " on "
              << aFault.mFirst << "," << aFault.mSecond << " for "
              << aFault.mDurationMs << " ms after " << aFault.mDelayMs
              << " ms}";
}

rc::Gen<Fault>
GenerateFault()
{
  return rc::gen::build<Fault>(
    rc::gen::set(
      &Fault::mKind,
      rc::gen::map(rc::gen::inRange(0, static_cast<int>(FaultKind::Count)),
                   [](int aKind) { return static_cast<FaultKind>(aKind); })),
    rc::gen::set(&Fault::mFirst, rc::gen::inRange<std::size_t>(0, 3)),
    rc::gen::set(&Fault::mSecond, rc::gen::inRange<std::size_t>(0, 3)),
    rc::gen::set(&Fault::mDurationMs, rc::gen::inRange(20, 3'000)),
    rc::gen::set(&Fault::mDelayMs, rc::gen::inRange(0, 1'500)));
}

/// Injects a fault.
void
InjectFault(Cluster& aCluster, const Fault& aFault)
{
  const std::size_t first = aFault.mFirst;
  const std::size_t primary = aCluster.Primary().value_or(first);
  switch (aFault.mKind) {
    case FaultKind::ServerDown:
      aCluster.SetDown(first, true);
      break;
    case FaultKind::ServerCutOff:
      aCluster.SetCutOff(first, true);
      break;
    case FaultKind::PrimaryDown:
      aCluster.SetDown(primary, true);
      break;
    case FaultKind::PrimaryCutOff:
      aCluster.SetCutOff(primary, true);
      break;
    case FaultKind::HostCutFromServer:
      aCluster.SetHostCut(first, aFault.mSecond, true);
      break;
    case FaultKind::HostsCut:
      aCluster.SetPeersCut(first, (first + 1) % 3, true);
      break;
    case FaultKind::HostPaused:
      aCluster.PauseHost(first, std::chrono::milliseconds(aFault.mDurationMs));
      break;
    case FaultKind::HostRestarted:
      aCluster.RestartHost(first);
      break;
    case FaultKind::ConnectionsSilent:
      aCluster.Silence(first);
      break;
    case FaultKind::SwitchOver:
      aCluster.Post(aFault.mSecond,
                    ServerLeaving{ aCluster.IdOfServer(primary) });
      break;
    case FaultKind::PrimaryIsolated:
      aCluster.Isolate(primary, first);
      break;
    case FaultKind::PrimaryShunned:
      aCluster.Shun(primary, first);
      break;
    case FaultKind::Count:
      break;
  }
}

/// Runs the workload through a sequence of faults. The cluster is not healed
/// after the second fault of every three, so that the third overlaps with it.
std::vector<std::string>
RunFaults(std::uint64_t aSeed, const std::vector<Fault>& aFaults)
{
  Cluster cluster(aSeed);
  Workload workload(cluster);
  workload.Run(std::chrono::milliseconds(300));
  std::size_t n = 0;
  for (const Fault& fault : aFaults) {
    workload.Run(std::chrono::milliseconds(fault.mDelayMs));
    InjectFault(cluster, fault);
    workload.Run(std::chrono::milliseconds(fault.mDurationMs));
    if (++n % 3 != 2) {
      cluster.Heal();
    }
  }
  cluster.Heal();
  cluster.Advance(std::chrono::seconds(8));
  workload.Run(std::chrono::milliseconds(500));
  return workload.Check();
}

}

TEST_CASE("Guarantees on writes hold under any sequence of faults", "[Keeper]")
{
  const bool holds = rc::check("promises hold", [] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
    const auto count = *rc::gen::inRange<std::size_t>(1, 8);
    const auto faults =
      *rc::gen::container<std::vector<Fault>>(count, GenerateFault());
    for (std::uint64_t n = 0; n < kSeedsPerSequence; ++n) {
      const std::vector<std::string> found = RunFaults(seed + n, faults);
      RC_ASSERT(found == std::vector<std::string>{});
    }
  });
  REQUIRE(holds);
}
