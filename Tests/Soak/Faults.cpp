#include "Faults.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <optional>
#include <ostream>
#include <thread>

#include "Common/NamedEnum.h"
#include "PromotionFaults.h"

namespace camphorstep::soak {

namespace {

constexpr std::size_t kServers = 3;
constexpr std::int64_t kSlowMicros = 150'000;
constexpr std::int64_t kHeldUpMicros = 1'200'000;
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
  EnumName<FaultKind>{ FaultKind::HoldUpPromotions, "hold up promotions" },
  EnumName<FaultKind>{ FaultKind::LetPromotionsPass, "let promotions pass" },
  EnumName<FaultKind>{ FaultKind::LosePromotionAnswers,
                       "lose promotions' answers" },
  EnumName<FaultKind>{ FaultKind::RefusePromotions, "refuse promotions" },
  EnumName<FaultKind>{ FaultKind::RepeatPromotions, "repeat promotions" },
  EnumName<FaultKind>{ FaultKind::HoldUpStore, "hold up calls to the store" },
  EnumName<FaultKind>{ FaultKind::StoreWritesLate, "store writes late" },
  EnumName<FaultKind>{ FaultKind::HoldUpAnswers, "hold up server's answers" },
  EnumName<FaultKind>{ FaultKind::KillPrimary, "kill primary" },
  EnumName<FaultKind>{ FaultKind::KillHolder, "kill holder of the lease" },
  EnumName<FaultKind>{ FaultKind::StopHolder, "stop holder of the lease" },
  EnumName<FaultKind>{ FaultKind::TakeKeyAway, "take away the key of caller" },
};
/// The kinds before StoreReturns, whose faults are drawn apart so that the
/// others of a seed stay the same.
constexpr std::size_t kDrawnKinds =
  static_cast<std::size_t>(FaultKind::StoreReturns);
constexpr std::uint64_t kReturnsSeed = 0x5eed;
constexpr int kMeanReturnGapMs = 4'000;
constexpr std::uint64_t kKeysSeed = 0x6e75;
constexpr int kMeanKeyGapMs = 500;
/// How long a key is away: beyond the time for which it may still be served.
constexpr int kShortestKeyMs = 2'500;
constexpr int kKeySpanMs = 3'000;

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
    case FaultKind::StoreWritesLate:
      return standin::StoreFault::LateWrites;
    default:
      return standin::StoreFault::None;
  }
}

standin::PromotionFault
PromotionFaultOf(FaultKind aKind)
{
  switch (aKind) {
    case FaultKind::LosePromotionAnswers:
      return standin::PromotionFault::LoseAnswers;
    case FaultKind::RefusePromotions:
      return standin::PromotionFault::Refuse;
    case FaultKind::RepeatPromotions:
      return standin::PromotionFault::Repeat;
    default:
      return standin::PromotionFault::None;
  }
}

/// Adds faults of processes, servers, links and the store.
void
AddOutsideFaults(std::vector<Fault>& aSchedule,
                 std::uint64_t aSeed,
                 std::chrono::milliseconds aLength,
                 std::size_t aGateways)
{
  std::mt19937_64 random(aSeed);
  const auto draw = [&random](std::size_t aBelow) {
    return Draw(random, aBelow);
  };
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
    aSchedule.push_back(fault);
  }
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
}

void
AddKeyFaults(std::vector<Fault>& aSchedule,
             std::uint64_t aSeed,
             std::chrono::milliseconds aLength,
             std::size_t aCallers)
{
  std::mt19937_64 random(aSeed ^ kKeysSeed);
  for (auto at = 0ms; aCallers > 0;) {
    at += std::chrono::milliseconds(Draw(random, 2 * kMeanKeyGapMs));
    if (at >= aLength) {
      break;
    }
    const auto duration = kShortestKeyMs + Draw(random, kKeySpanMs);
    aSchedule.push_back({ at,
                          FaultKind::TakeKeyAway,
                          Draw(random, aCallers),
                          std::chrono::milliseconds(duration) });
  }
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

std::size_t
Draw(std::mt19937_64& aRandom, std::size_t aBelow)
{
  return static_cast<std::size_t>(aRandom() % aBelow);
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
             std::size_t aGateways,
             std::size_t aCallersWithKeys,
             bool aOnlyPromotions)
{
  std::vector<Fault> schedule;
  AddKeyFaults(schedule, aSeed, aLength, aCallersWithKeys);
  if (!aOnlyPromotions) {
    AddOutsideFaults(schedule, aSeed, aLength, aGateways);
    AddStoreReturns(schedule, aSeed, aLength);
  }
  AddPromotionFaults(schedule, aSeed, aLength, kServers);
  std::stable_sort(schedule.begin(),
                   schedule.end(),
                   [](const Fault& aFirst, const Fault& aSecond) {
                     return aFirst.mAt < aSecond.mAt;
                   });
  return schedule;
}

Targets::Targets(std::uint16_t aSitePort, std::uint16_t aRelayPort, Keys& aKeys)
  : mKeys(aKeys)
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
    case FaultKind::TakeKeyAway:
      mKeys.Take(n);
      Publish();
      mKeys.NoteTaken(n);
      break;
    case FaultKind::StoreReturns:
      mSite->Do([&] { mSite->Store().KeepCopy(); });
      break;
    case FaultKind::HoldUpPromotions:
      mSite->Do([&] { mSite->Promotions().SetHoldingUp(true); });
      break;
    case FaultKind::LetPromotionsPass:
      mSite->Do([&] { mSite->Promotions().SetHoldingUp(false); });
      break;
    case FaultKind::LosePromotionAnswers:
    case FaultKind::RefusePromotions:
    case FaultKind::RepeatPromotions:
      SetPromotionFault(aFault.mKind);
      break;
    case FaultKind::HoldUpStore:
      mSite->Do([&] { mSite->Store().Http().SetHoldingUp(true); });
      break;
    case FaultKind::HoldUpAnswers:
      mRelays[n]->Backward().mDelayMicros = kHeldUpMicros;
      break;
    case FaultKind::KillPrimary:
      KillPrimary(aFault);
      break;
    case FaultKind::KillHolder:
      SignalHolder(aGateways, SIGKILL);
      break;
    case FaultKind::StopHolder:
      SignalHolder(aGateways, SIGTERM);
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
    case FaultKind::HoldUpAnswers:
      SetDelay(*mRelays[n], 0);
      break;
    case FaultKind::StoreRefuses:
    case FaultKind::StoreIsSilent:
    case FaultKind::StoreLosesAnswers:
    case FaultKind::StoreWritesLate:
      mSite->Do([&] { mSite->Store().SetFault(standin::StoreFault::None); });
      break;
    case FaultKind::HoldUpPromotions:
      mSite->Do([&] {
        mSite->Promotions().SetHoldingUp(false);
        mSite->Promotions().DeliverHeldUp();
      });
      break;
    case FaultKind::LosePromotionAnswers:
    case FaultKind::RefusePromotions:
    case FaultKind::RepeatPromotions:
      SetPromotionFault(FaultKind::LetPromotionsPass);
      break;
    case FaultKind::HoldUpStore:
      mSite->Do([&] {
        mSite->Store().Http().SetHoldingUp(false);
        mSite->Store().Http().DeliverHeldUp();
      });
      break;
    case FaultKind::KillPrimary:
      if (const auto it = mKilledPrimaries.find(aFault.mAt);
          it != mKilledPrimaries.end()) {
        mSite->Do([&] { mSite->Group().Revive(it->second); });
        mKilledPrimaries.erase(it);
      }
      break;
    case FaultKind::StoreReturns:
      mSite->Do([&] { mSite->Store().ReturnFromCopy(); });
      WriteConfiguration();
      break;
    case FaultKind::TakeKeyAway:
      mKeys.Return(n);
      Publish();
      break;
    default:
      break;
  }
}

void
Targets::KillPrimary(const Fault& aFault)
{
  mSite->Do([&] {
    const std::optional<std::size_t> server = mSite->Group().LeadingServer();
    if (server) {
      mSite->Group().Kill(*server);
      mKilledPrimaries[aFault.mAt] = *server;
    }
  });
}

void
Targets::SignalHolder(const Gateways& aGateways, int aSignal)
{
  std::string lease;
  mSite->Do([&] { lease = mSite->Store().Value("camphorstep", "promoter"); });
  for (std::size_t n = 0; n < aGateways.Count(); ++n) {
    if (lease.find("\"h" + std::to_string(n) + "\"") != std::string::npos) {
      aGateways.Signal(n, aSignal);
    }
  }
}

void
Targets::SetPromotionFault(FaultKind aKind)
{
  mSite->Do([&] { mSite->SetPromotionFault(PromotionFaultOf(aKind)); });
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
  if (mKeys.HasAccounts()) {
    mSite->SetAccounts(mKeys.Accounts());
  }
  mSite->Publish(mVersion,
                 { "main", "near", "extra" + std::to_string(mVersion) });
}

}
