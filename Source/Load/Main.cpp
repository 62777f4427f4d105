#include <algorithm>
#include <array>
#include <exception>
#include <iostream>
#include <string_view>

#include <cxxopts.hpp>

#include "Load/Distance.h"
#include "Load/Failover.h"
#include "Load/Floods.h"
#include "Load/Leaving.h"
#include "Load/LoadSettings.h"
#include "Load/Overhead.h"
#include "Load/Publishing.h"
#include "Load/ReplicaReads.h"
#include "Load/RetryStorm.h"
#include "Load/Silence.h"
#include "Load/SteadyCallers.h"
#include "Settings/Settings.h"

namespace {

using namespace camphorstep;

/// A named measurement.
struct Scenario
{
  std::string_view mName;
  std::string_view mHelp;
  void (*mRun)(const LoadSettings&);
};

constexpr std::array kScenarios{
  Scenario{ "overhead",
            "latency and throughput against a direct client",
            RunOverhead },
  Scenario{ "flood-low", "a flood of the least urgent rank", RunFloodLow },
  Scenario{ "flood-urgent", "a flood of the most urgent rank", RunFloodUrgent },
  Scenario{ "replica-reads",
            "reads of replicas, one of which falls behind",
            RunReplicaReads },
  Scenario{ "retry-storm", "the primary goes away and returns", RunRetryStorm },
  Scenario{ "distance",
            "latency by data centre and bytes over the link between regions",
            RunDistance },
  Scenario{ "silence",
            "service while open connections go silent for good",
            RunSilence },
  Scenario{ "publish", "racing operators publish profiles", RunPublishing },
  Scenario{ "steady", "callers behind a balancer", RunSteady },
  Scenario{ "leaving", "a server is listed as leaving", RunLeaving },
  Scenario{ "failover",
            "gaps of steady writers over changes of primary",
            RunFailover },
};

Address
ToAddress(const std::string& aText)
{
  Address address;
  if (!ParseAddress(aText, address)) {
    throw std::runtime_error("'" + aText + "' is not IP:PORT");
  }
  return address;
}

std::vector<Address>
ToAddresses(const std::vector<std::string>& aTexts)
{
  std::vector<Address> addresses;
  for (const std::string& text : aTexts) {
    if (text.empty()) {
      continue;
    }
    addresses.push_back(ToAddress(text));
  }
  return addresses;
}

LoadSettings
ReadSettings(const cxxopts::ParseResult& aResult)
{
  using Texts = std::vector<std::string>;
  LoadSettings settings;
  settings.mScenario = aResult["scenario"].as<std::string>();
  settings.mDuration = std::chrono::seconds(aResult["seconds"].as<int>());
  settings.mSeed = aResult["seed"].as<std::uint64_t>();
  settings.mProxies = ToAddresses(aResult["proxies"].as<Texts>());
  settings.mDatabase = aResult["database"].as<std::string>();
  settings.mServers = ToAddresses(aResult["servers"].as<Texts>());
  settings.mControls = ToAddresses(aResult["controls"].as<Texts>());
  if (aResult.count("names") > 0) {
    settings.mServerNames = aResult["names"].as<Texts>();
  }
  if (aResult.count("platform") > 0) {
    settings.mPlatform = ToAddress(aResult["platform"].as<std::string>());
  }
  if (aResult.count("operators") > 0) {
    settings.mOperators = ToAddress(aResult["operators"].as<std::string>());
  }
  settings.mLinks = ToAddresses(aResult["links"].as<Texts>());
  settings.mTokens = aResult["tokens"].as<Texts>();
  settings.mOperatorToken = aResult["operator-token"].as<std::string>();
  if (aResult.count("reserved") > 0) {
    settings.mReservedPercents = aResult["reserved"].as<std::vector<int>>();
  }
  settings.mPrefix = aResult["prefix"].as<std::string>();
  return settings;
}

void
ListScenarios()
{
  for (const Scenario& scenario : kScenarios) {
    std::cout << scenario.mName << "\t" << scenario.mHelp << "\n";
  }
}

int
Run(int aCount, char** aArguments)
{
  using Texts = std::vector<std::string>;
  cxxopts::Options options("camphorstep-load", "Loads and measures a fleet.");
  auto add = options.add_options();
  add("help", "print this help");
  add("list", "list the scenarios");
  add("scenario", "the scenario to run", cxxopts::value<std::string>());
  add("seconds", "how long to run", cxxopts::value<int>()->default_value("10"));
  add("seed",
      "seed of random choices",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("proxies", "callers' listeners", cxxopts::value<Texts>());
  add("database", "the database to use", cxxopts::value<std::string>());
  add("servers", "the database's servers", cxxopts::value<Texts>());
  add("controls", "the servers' control pages", cxxopts::value<Texts>());
  add("names", "the servers' names", cxxopts::value<Texts>());
  add("platform", "the platform's control page", cxxopts::value<std::string>());
  add("operators",
      "a proxy's operators' listener",
      cxxopts::value<std::string>());
  add("links",
      "control pages of the links between data centres and regions",
      cxxopts::value<Texts>()->default_value(""));
  add("tokens", "bearer tokens by rank", cxxopts::value<Texts>());
  add("operator-token",
      "bearer token of an operator",
      cxxopts::value<std::string>());
  add("reserved",
      "reserved shares by rank, in percent",
      cxxopts::value<std::vector<int>>());
  add("prefix",
      "put before the names of figures",
      cxxopts::value<std::string>()->default_value(""));
  const cxxopts::ParseResult result = options.parse(aCount, aArguments);
  if (result.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  if (result.count("list") > 0) {
    ListScenarios();
    return 0;
  }
  const LoadSettings settings = ReadSettings(result);
  const auto it = std::find_if(kScenarios.begin(),
                               kScenarios.end(),
                               [&settings](const Scenario& aScenario) {
                                 return aScenario.mName == settings.mScenario;
                               });
  if (it == kScenarios.end()) {
    std::cerr << "camphorstep-load: unknown scenario '" << settings.mScenario
              << "'\n";
    return 2;
  }
  it->mRun(settings);
  return 0;
}

}

int
main(int aCount, char** aArguments)
{
  try {
    return Run(aCount, aArguments);
  } catch (const std::exception& ex) {
    std::cerr << "camphorstep-load: " << ex.what() << "\n";
    return 1;
  }
}
