#include <chrono>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>

#include <cxxopts.hpp>
#include <cxxtools/net/tcpstream.h>
#include <unistd.h>

#include "Callers.h"
#include "Faults.h"
#include "Gateways.h"
#include "Keys.h"
#include "Ledger.h"

namespace camphorstep::soak {

namespace {

/// What is left of a run after its last fault: gateways have to serve again
/// within this time, and a published configuration has to be in force.
constexpr std::chrono::seconds kRecoveryTime{ 12 };
constexpr std::chrono::milliseconds kStep{ 20 };
/// A server leads some time after the order to promote it.
constexpr std::chrono::milliseconds kPromotionDelay{ 300 };
/// Ports of a run, from its first one on: the site's, then the relays', then
/// the gateways'.
constexpr std::uint16_t kRelayPorts = 10;
constexpr std::uint16_t kGatewayPorts = 100;

/// How a run is made.
struct Options
{
  std::string mProgram;
  std::string mFolder;
  std::uint64_t mSeed = 1;
  std::chrono::seconds mLength{ 12 };
  bool mOnlyPromotions = false;
  bool mAccounts = false;
  std::uint16_t mFirstPort = 21'000;
  std::size_t mGateways = 4;
  std::size_t mCallers = 12;
};

/// Whether a gateway opens a session for a database.
bool
Serves(std::uint16_t aPort, const std::string& aDatabase)
{
  try {
    cxxtools::net::TcpStream stream("127.0.0.1", aPort);
    stream.socket().setTimeout(cxxtools::Milliseconds(1'000.0));
    stream << "STARTUP " << aDatabase << " " << Keys::OwnKey() << "\r\n"
           << std::flush;
    std::string line;
    return std::getline(stream, line) && line.starts_with("READY");
  } catch (const std::exception&) {
    // It does not listen yet.
    return false;
  }
}

/// Whether a gateway runs a write.
bool
Writes(std::uint16_t aPort, Ledger& aLedger, const std::string& aItem)
{
  try {
    cxxtools::net::TcpStream stream("127.0.0.1", aPort);
    stream.socket().setTimeout(cxxtools::Milliseconds(5'000.0));
    aLedger.Begin({ aItem });
    stream << "STARTUP main " << Keys::OwnKey() << "\r\nQUERY last WRITE "
           << aItem << " x\r\n"
           << std::flush;
    for (std::string line; std::getline(stream, line);) {
      if (line.starts_with("COMPLETE sig-last")) {
        return true;
      }
      if (line.starts_with("ERROR")) {
        return false;
      }
    }
  } catch (const std::exception&) {
    // It does not listen, or not any more; the caller asks again.
  }
  return false;
}

/// Checks that all gateways serve the newest configuration, with writes whose
/// items begin with a name.
void
CheckRecovery(const Targets& aTargets,
              Gateways& aGateways,
              Ledger& aLedger,
              const std::string& aName)
{
  const auto end = Clock::now() + kRecoveryTime;
  const std::string newest = "extra" + std::to_string(aTargets.Version());
  std::set<std::size_t> waiting;
  for (std::size_t n = 0; n < aGateways.Count(); ++n) {
    waiting.insert(n);
  }
  for (int round = 0; !waiting.empty() && Clock::now() < end; ++round) {
    aGateways.RestartEnded();
    std::erase_if(waiting, [&](std::size_t aGateway) {
      const std::uint16_t port = aGateways.CallerPort(aGateway);
      const std::string item =
        aName + "." + std::to_string(aGateway) + "." + std::to_string(round);
      return Serves(port, newest) && Writes(port, aLedger, item);
    });
    std::this_thread::sleep_for(kStep);
  }
  for (const std::size_t gateway : waiting) {
    aLedger.Fail("service returns after the faults",
                 "h" + std::to_string(gateway) + " does not serve");
  }
}

/// Checks that orders to promote were given by one holder at a time.
void
CheckOrders(standin::SiteStandin& aSite, Ledger& aLedger)
{
  std::map<std::uint64_t, std::string> holders;
  std::uint64_t newest = 0;
  for (const auto& [holder, token] : aSite.Orders()) {
    const auto [it, isNew] = holders.emplace(token, holder);
    if (it->second != holder) {
      aLedger.Fail("one holder promotes under one fencing token",
                   it->second + " and " + holder + " used " +
                     std::to_string(token));
    }
    if (token < newest) {
      aLedger.Fail("fencing tokens never fall",
                   std::to_string(token) + " came after " +
                     std::to_string(newest));
    }
    newest = std::max(newest, token);
  }
}

/// Carries out a schedule while the callers work.
void
PlayFaults(const std::vector<Fault>& aSchedule,
           std::chrono::milliseconds aLength,
           Targets& aTargets,
           Gateways& aGateways,
           Ledger& aLedger)
{
  const auto start = Clock::now();
  std::multimap<std::chrono::milliseconds, Fault> ends;
  auto next = aSchedule.begin();
  for (auto passed = 0ms; passed < aLength || !ends.empty();) {
    for (; next != aSchedule.end() && next->mAt <= passed; ++next) {
      aTargets.Begin(*next, aGateways);
      ends.emplace(next->mAt + next->mDuration, *next);
    }
    for (; !ends.empty() && ends.begin()->first <= passed;
         ends.erase(ends.begin())) {
      aTargets.End(ends.begin()->second, aGateways);
    }
    for (const std::string& ended : aGateways.RestartEnded()) {
      aLedger.Fail("processes do not end by themselves", ended);
    }
    std::this_thread::sleep_for(kStep);
    passed = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock::now() - start);
  }
}

void
CheckSite(standin::SiteStandin& aSite, Ledger& aLedger)
{
  aSite.Do([&] {
    aLedger.CheckEffects(aSite.Group().mEffects, aSite.Group().Data());
    for (const std::string& item : aSite.Group().mViolations) {
      aLedger.Fail("statements run with their session's values", item);
    }
    CheckOrders(aSite, aLedger);
  });
}

int
Run(const Options& aOptions)
{
  std::filesystem::create_directories(aOptions.mFolder);
  Ledger ledger;
  Keys keys(aOptions.mAccounts, aOptions.mCallers);
  const std::uint16_t port = aOptions.mFirstPort;
  Targets targets(port, static_cast<std::uint16_t>(port + kRelayPorts), keys);
  targets.Site().Do([&] {
    targets.Site().Group().SetPromotionDelay(kPromotionDelay);
    targets.Site().Group().mOnLeading = [&ledger](const auto& aData) {
      ledger.CheckKept(aData);
    };
    targets.Site().Group().mOnStatement =
      [&ledger, &keys](const std::string& aId, const std::string& aAccount) {
        if (aAccount != keys.AccountOfStatement(aId)) {
          ledger.Fail("servers are told the caller's account",
                      aId + " came from " + aAccount);
        }
      };
  });
  Gateways gateways(aOptions.mProgram,
                    aOptions.mFolder,
                    aOptions.mGateways,
                    static_cast<std::uint16_t>(port + kGatewayPorts),
                    port,
                    aOptions.mAccounts ? kRevokeTimeout : 0ms);
  CheckRecovery(targets, gateways, ledger, "before");
  const std::vector<Fault> schedule =
    MakeSchedule(aOptions.mSeed,
                 aOptions.mLength,
                 aOptions.mGateways,
                 aOptions.mAccounts ? aOptions.mCallers : 0,
                 aOptions.mOnlyPromotions);
  std::uint64_t served = 0;
  {
    Callers callers(gateways, ledger, keys, aOptions.mSeed);
    PlayFaults(schedule, aOptions.mLength, targets, gateways, ledger);
    CheckRecovery(targets, gateways, ledger, "after");
    served = callers.mCounts.mServed;
  }
  CheckSite(targets.Site(), ledger);
  const std::vector<std::string> failures = ledger.Failures();
  std::cout << "soak_seed=" << aOptions.mSeed << " faults=" << schedule.size()
            << " served=" << served
            << " acknowledged=" << ledger.Count(Fate::Acknowledged)
            << " not_kept=" << ledger.Count(Fate::NotKept)
            << " unknown=" << ledger.Count(Fate::Unknown)
            << " promotions=" << targets.Site().Orders().size()
            << " failures=" << failures.size() << "\n";
  if (failures.empty()) {
    return EXIT_SUCCESS;
  }
  for (const std::string& failure : failures) {
    std::cout << "FAILED " << failure << "\n";
  }
  for (const Fault& fault : schedule) {
    std::cout << "  " << fault << "\n";
  }
  std::cout << "logs in " << aOptions.mFolder << "; again with --seed "
            << aOptions.mSeed << " --seconds " << aOptions.mLength.count()
            << " --gateways " << aOptions.mGateways << " --callers "
            << aOptions.mCallers
            << (aOptions.mOnlyPromotions ? " --only-promotions" : "")
            << (aOptions.mAccounts ? " --accounts" : "") << "\n";
  return EXIT_FAILURE;
}

int
Main(int aCount, char** aArguments)
{
  cxxopts::Options options("camphorstep-soak",
                           "Injects faults into gateways from outside and "
                           "checks what callers and servers see.");
  auto add = options.add_options();
  add("help", "print this help");
  add("program", "the gateway's program", cxxopts::value<std::string>());
  add("folder",
      "where settings and logs go",
      cxxopts::value<std::string>()->default_value("soak-logs"));
  add("seed",
      "seed of the faults",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("seconds",
      "how long faults come",
      cxxopts::value<int>()->default_value("12"));
  add("only-promotions", "only faults around changes of primary");
  add("accounts", "callers have keys, which are taken away");
  add("port",
      "first of the ports, of about 120",
      cxxopts::value<std::uint16_t>()->default_value("21000"));
  add(
    "gateways", "how many", cxxopts::value<std::size_t>()->default_value("4"));
  add(
    "callers", "how many", cxxopts::value<std::size_t>()->default_value("12"));
  const cxxopts::ParseResult result = options.parse(aCount, aArguments);
  if (result.count("help") > 0 || result.count("program") == 0) {
    std::cout << options.help();
    return result.count("help") > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
  }
  Options run;
  run.mProgram = result["program"].as<std::string>();
  run.mFolder = result["folder"].as<std::string>();
  run.mSeed = result["seed"].as<std::uint64_t>();
  run.mLength = std::chrono::seconds(result["seconds"].as<int>());
  run.mOnlyPromotions = result.count("only-promotions") > 0;
  run.mAccounts = result.count("accounts") > 0;
  run.mFirstPort = result["port"].as<std::uint16_t>();
  run.mGateways = result["gateways"].as<std::size_t>();
  run.mCallers = result["callers"].as<std::size_t>();
  return Run(run);
}

}

}

int
main(int aCount, char** aArguments)
{
  int status = EXIT_FAILURE;
  try {
    status = camphorstep::soak::Main(aCount, aArguments);
  } catch (const std::exception& ex) {
    std::cerr << "camphorstep-soak: " << ex.what() << "\n";
  }
  std::cout << std::flush;
  // The relays' threads run on until here.
  ::_exit(status);
}
