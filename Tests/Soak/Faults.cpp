#include "Faults.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <ostream>
#include <random>
#include <thread>

#include "Common/NamedEnum.h"

namespace camphorstep::soak {

namespace {

constexpr std::size_t kServers = 3;
constexpr std::int64_t kSlowMicros = 150'000;
constexpr int kMeanGapMs = 700;
constexpr int kLongestMs = 3'500;

constexpr std::array kNames{
  EnumName<FaultKind>{ FaultKind::KillGateway, "kill gateway" },
  EnumName<FaultKind>{ FaultKind::StopGateway, "stop gateway" },
  EnumName<FaultKind>{ FaultKind::FreezeGateway, "freeze gateway" },
  EnumName<FaultKind>{ FaultKind::HangUpGateway, "hang up gateway" },
  EnumName<FaultKind>{ FaultKind::KillAllGateways, "kill all gateways" },
  EnumName<FaultKind>{ FaultKind::KillServer, "kill server" },
  EnumName<FaultKind>{ FaultKind::DeafenServer, "deafen server" },
  EnumName<FaultKind>{ FaultKind::CutServer, "cut server" },
  EnumName<FaultKind>{ FaultKind::CutServerOneWay, "cut server one way" },
  EnumName<FaultKind>{ FaultKind::DelayServer, "delay server" },
  EnumName<FaultKind>{ FaultKind::ResetServer, "reset server's connections" },
  EnumName<FaultKind>{ FaultKind::SilenceServer,
                       "silence server's connections" },
  EnumName<FaultKind>{ FaultKind::StoreRefuses, "store refuses" },
  EnumName<FaultKind>{ FaultKind::StoreIsSilent, "store is silent" },
  EnumName<FaultKind>{ FaultKind::StoreLosesAnswers, "store loses answers" },
  EnumName<FaultKind>{ FaultKind::Publish, "publish" },
  EnumName<FaultKind>{ FaultKind::StoreReturns, "store returns from a copy" },
};
/// The kinds before StoreReturns, whose faults are drawn apart so that the
/// others of a seed stay the same.
constexpr std::size_t kDrawnKinds =
  static_cast<std::size_t>(FaultKind::StoreReturns);
constexpr std::uint64_t kReturnsSeed = 0x5eed;
constexpr int kMeanReturnGapMs = 4'000;

bool
IsForGateway(FaultKind aKind)
{
  return aKind <= FaultKind::HangUpGateway;
}

standin::StoreFault
StoreFaultOf(FaultKind aKind)
{
  switch (aKind) {
    case FaultKind::StoreRefuses:
      return standin::StoreFault::Refuse;
    case FaultKind::StoreIsSilent:
      return standin::StoreFault::Silent;
    case FaultKind::StoreLosesAnswers:
      return standin::StoreFault::LoseAnswers;
    default:
      return standin::StoreFault::None;
  }
}

/// A random number below a bound.
std::size_t
Draw(std::mt19937_64& aRandom, std::size_t aBelow)
{
  return static_cast<std::size_t>(aRandom() % aBelow);
}

void
AddStoreReturns(std::vector<Fault>& aSchedule,
                std::uint64_t aSeed,
                std::chrono::milliseconds aLength)
{
  std::mt19937_64 random(aSeed ^ kReturnsSeed);
  std::chrono::milliseconds at{ 0 };
  for (;;) {
    at += std::chrono::milliseconds(Draw(random, 2 * kMeanReturnGapMs));
    if (at >= aLength) {
      break;
    }
    Fault fault;
    fault.mAt = at;
    fault.mKind = FaultKind::StoreReturns;
    fault.mDuration = std::chrono::milliseconds(50 + Draw(random, kLongestMs));
    // A copy is kept until the store returns from it.
    at += fault.mDuration;
    aSchedule.push_back(fault);
  }
  std::stable_sort(aSchedule.begin(),
                   aSchedule.end(),
                   [](const Fault& aFirst, const Fault& aSecond) {
                     return aFirst.mAt < aSecond.mAt;
                   });
}

void
SetDelay(LinkRelay& aRelay, std::int64_t aMicros)
{
  aRelay.Forward().mDelayMicros = aMicros;
  aRelay.Backward().mDelayMicros = aMicros;
}

void
SetCut(LinkRelay& aRelay, bool aIsCut)
{
  aRelay.Forward().mCut = aIsCut;
  aRelay.Backward().mCut = aIsCut;
}

}

std::ostream&
operator<<(std::ostream& aOut, const Fault& aFault)
{
  return aOut << aFault.mAt.count() << " ms: " << NameIn(kNames, aFault.mKind)
              << " " << aFault.mTarget << " for " << aFault.mDuration.count()
              << " ms";
}

std::vector<Fault>
MakeSchedule(std::uint64_t aSeed,
             std::chrono::milliseconds aLength,
             std::size_t aGateways)
{
  std::mt19937_64 random(aSeed);
  const auto draw = [&random](std::size_t aBelow) {
    return Draw(random, aBelow);
  };
  std::vector<Fault> schedule;
  std::chrono::milliseconds at{ 0 };
  for (;;) {
    at += std::chrono::milliseconds(draw(2 * kMeanGapMs));
    if (at >= aLength) {
      break;
    }
    Fault fault;
    fault.mAt = at;
    fault.mKind = kNames.at(draw(kDrawnKinds)).mValue;
    fault.mTarget = draw(IsForGateway(fault.mKind) ? aGateways : kServers);
    fault.mDuration = std::chrono::milliseconds(50 + draw(kLongestMs));
    schedule.push_back(fault);
  }
  AddStoreReturns(schedule, aSeed, aLength);
  return schedule;
}

Targets::Targets(std::uint16_t aSitePort, std::uint16_t aRelayPort)
{
  std::vector<Address> fronts;
  for (std::size_t n = 0; n < kServers; ++n) {
    fronts.push_back(
      { "127.0.0.1", static_cast<std::uint16_t>(aRelayPort + n) });
  }
  mSite = std::make_unique<standin::SiteStandin>(aSitePort, fronts);
  for (std::size_t n = 0; n < kServers; ++n) {
    auto link = std::make_unique<LinkSettings>();
    link->mName = "server-" + std::to_string(n);
    link->mRules = { { fronts[n], mSite->ServerAddress(n) } };
    // A relay forwards for ever, so it has to outlive everything.
    auto* const relay = new LinkRelay(*link);
    mLinks.push_back(std::move(link));
    mRelays.push_back(relay);
    std::thread([relay] { relay->Run(); }).detach();
  }
  Publish();
}

void
Targets::Begin(const Fault& aFault, const Gateways& aGateways)
{
  const std::size_t n = aFault.mTarget;
  switch (aFault.mKind) {
    case FaultKind::KillGateway:
      aGateways.Signal(n, SIGKILL);
      break;
    case FaultKind::StopGateway:
      aGateways.Signal(n, SIGTERM);
      break;
    case FaultKind::FreezeGateway:
      aGateways.Signal(n, SIGSTOP);
      break;
    case FaultKind::HangUpGateway:
      aGateways.Signal(n, SIGHUP);
      break;
    case FaultKind::KillAllGateways:
      for (std::size_t each = 0; each < aGateways.Count(); ++each) {
        aGateways.Signal(each, SIGKILL);
      }
      break;
    case FaultKind::KillServer:
      mSite->Do([&] { mSite->Group().Kill(n); });
      break;
    case FaultKind::DeafenServer:
      mSite->Do([&] { mSite->Group().SetDeaf(n, true); });
      break;
    case FaultKind::CutServer:
      SetCut(*mRelays[n], true);
      break;
    case FaultKind::CutServerOneWay:
      mRelays[n]->Backward().mCut = true;
      break;
    case FaultKind::DelayServer:
      SetDelay(*mRelays[n], kSlowMicros);
      break;
    case FaultKind::ResetServer:
      mRelays[n]->ResetConnections();
      break;
    case FaultKind::SilenceServer:
      mRelays[n]->Silence(mRelays[n]->Forward());
      mRelays[n]->Silence(mRelays[n]->Backward());
      break;
    case FaultKind::Publish:
      Publish();
      break;
    case FaultKind::StoreReturns:
      mSite->Do([&] { mSite->Store().KeepCopy(); });
      break;
    default:
      mSite->Do([&] { mSite->Store().SetFault(StoreFaultOf(aFault.mKind)); });
      break;
  }
}

void
Targets::End(const Fault& aFault, const Gateways& aGateways)
{
  const std::size_t n = aFault.mTarget;
  switch (aFault.mKind) {
    case FaultKind::FreezeGateway:
      aGateways.Signal(n, SIGCONT);
      break;
    case FaultKind::KillServer:
      mSite->Do([&] { mSite->Group().Revive(n); });
      break;
    case FaultKind::DeafenServer:
      mSite->Do([&] { mSite->Group().SetDeaf(n, false); });
      break;
    case FaultKind::CutServer:
    case FaultKind::CutServerOneWay:
      SetCut(*mRelays[n], false);
      break;
    case FaultKind::DelayServer:
      SetDelay(*mRelays[n], 0);
      break;
    case FaultKind::StoreRefuses:
    case FaultKind::StoreIsSilent:
    case FaultKind::StoreLosesAnswers:
      mSite->Do([&] { mSite->Store().SetFault(standin::StoreFault::None); });
      break;
    case FaultKind::StoreReturns:
      mSite->Do([&] { mSite->Store().ReturnFromCopy(); });
      WriteConfiguration();
      break;
    default:
      break;
  }
}

void
Targets::Publish()
{
  ++mVersion;
  WriteConfiguration();
}

void
Targets::WriteConfiguration()
{
  mSite->Publish(mVersion,
                 { "main", "near", "extra" + std::to_string(mVersion) });
}

}
