#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Gateways.h"
#include "Keys.h"
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
  /// Orders to promote are held up and arrive at the end.
  HoldUpPromotions,
  /// Further orders to promote arrive at once; those held up stay so.
  LetPromotionsPass,
  /// The platform does what it is asked and does not answer.
  LosePromotionAnswers,
  RefusePromotions,
  RepeatPromotions,
  /// All calls to the store are held up and arrive at the end.
  HoldUpStore,
  /// Writes of the store are done later and not answered.
  StoreWritesLate,
  /// Answers of a server, with those to status requests, are held up.
  HoldUpAnswers,
  /// Ends the server that leads.
  KillPrimary,
  /// Ends the gateway that holds the promoter's lease.
  KillHolder,
  /// Stops it as planned.
  StopHolder,
  /// Takes a caller's key away until the end.
  TakeKeyAway,
};

/// A fault of a schedule.
struct Fault
{
  std::chrono::milliseconds mAt{ 0 };
  FaultKind mKind = FaultKind::KillGateway;
  /// Which gateway, server or caller.
  std::size_t mTarget = 0;
  /// How long it lasts, if it does not end by itself.
  std::chrono::milliseconds mDuration{ 0 };
};

std::ostream& operator<<(std::ostream& aOut, const Fault& aFault);

/// A random number below a bound.
std::size_t Draw(std::mt19937_64& aRandom, std::size_t aBelow);

/// The faults of a seed, in the order of their times: all, or only those
/// around changes of primary, of which there are more without the others. Keys
/// are taken away from a number of callers.
std::vector<Fault> MakeSchedule(std::uint64_t aSeed,
                                std::chrono::milliseconds aLength,
                                std::size_t aGateways,
                                std::size_t aCallersWithKeys,
                                bool aOnlyPromotions);

/// What faults are done to.
class Targets
{
public:
  /// Uses ports from a first one on for the relays in front of the servers.
  Targets(std::uint16_t aSitePort, std::uint16_t aRelayPort, Keys& aKeys);

  standin::SiteStandin& Site() { return *mSite; }

  void Begin(const Fault& aFault, const Gateways& aGateways);
  void End(const Fault& aFault, const Gateways& aGateways);

  /// The version of the routes that was published last.
  std::uint64_t Version() const { return mVersion; }

private:
  /// Notes which server it ended.
  void KillPrimary(const Fault& aFault);
  void SignalHolder(const Gateways& aGateways, int aSignal);
  void SetPromotionFault(FaultKind aKind);
  void Publish();
  /// Writes the configuration that was published last.
  void WriteConfiguration();

  Keys& mKeys;
  std::vector<std::unique_ptr<LinkSettings>> mLinks;
  /// Their threads run until the process ends.
  std::vector<LinkRelay*> mRelays;
  std::unique_ptr<standin::SiteStandin> mSite;
  std::uint64_t mVersion = 0;
  /// Primaries that faults ended, by the times of the faults.
  std::map<std::chrono::milliseconds, std::size_t> mKilledPrimaries;
};

}
