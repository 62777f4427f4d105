#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

#include "Gateways.h"
#include "SiteStandin.h"
#include "Standin/LinkRelay.h"

namespace camphorstep::soak {

using namespace std::chrono_literals;

enum class FaultKind : std::uint8_t
{
  KillGateway,
  StopGateway,
  FreezeGateway,
  HangUpGateway,
  KillAllGateways,
  KillServer,
  DeafenServer,
  CutServer,
  CutServerOneWay,
  DelayServer,
  ResetServer,
  SilenceServer,
  StoreRefuses,
  StoreIsSilent,
  StoreLosesAnswers,
  Publish,
  /// The store loses what it acknowledged during the fault.
  StoreReturns,
};

/// A fault of a schedule.
struct Fault
{
  std::chrono::milliseconds mAt{ 0 };
  FaultKind mKind = FaultKind::KillGateway;
  /// Which gateway or server.
  std::size_t mTarget = 0;
  /// How long it lasts, if it does not end by itself.
  std::chrono::milliseconds mDuration{ 0 };
};

std::ostream& operator<<(std::ostream& aOut, const Fault& aFault);

/// The faults of a seed, in the order of their times.
std::vector<Fault> MakeSchedule(std::uint64_t aSeed,
                                std::chrono::milliseconds aLength,
                                std::size_t aGateways);

/// What faults are done to.
class Targets
{
public:
  /// Uses ports from a first one on for the relays in front of the servers.
  Targets(std::uint16_t aSitePort, std::uint16_t aRelayPort);

  standin::SiteStandin& Site() { return *mSite; }

  void Begin(const Fault& aFault, const Gateways& aGateways);
  void End(const Fault& aFault, const Gateways& aGateways);

  /// The version of the routes that was published last.
  std::uint64_t Version() const { return mVersion; }

private:
  void Publish();
  /// Writes the configuration that was published last.
  void WriteConfiguration();

  std::vector<std::unique_ptr<LinkSettings>> mLinks;
  /// Their threads run until the process ends.
  std::vector<LinkRelay*> mRelays;
  std::unique_ptr<standin::SiteStandin> mSite;
  std::uint64_t mVersion = 0;
};

}
