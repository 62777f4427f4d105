#include <csignal>
#include <exception>
#include <iostream>
#include <sstream>
#include <thread>

#include <cxxopts.hpp>

#include "Common/Log.h"
#include "Settings/Settings.h"
#include "Standin/DatabaseServer.h"
#include "Standin/DatabaseState.h"
#include "Standin/PlatformServer.h"
#include "Standin/RelayCommand.h"
#include "Standin/Replication.h"
#include "Standin/StandinControl.h"
#include "Standin/StandinSettings.h"

namespace {

using namespace camphorstep;

Address
ToAddress(const std::string& aText)
{
  Address address;
  if (!ParseAddress(aText, address)) {
    throw std::runtime_error("'" + aText + "' is not IP:PORT");
  }
  return address;
}

/// Reads "name=ip:port,name=ip:port".
void
ReadGroup(const std::string& aText, StandinSettings& aSettings)
{
  std::istringstream in(aText);
  for (std::string item; std::getline(in, item, ',');) {
    const std::size_t equals = item.find('=');
    if (equals == std::string::npos) {
      throw std::runtime_error("'" + item + "' is not NAME=IP:PORT");
    }
    const std::string name = item.substr(0, equals);
    aSettings.mGroup.push_back(name);
    aSettings.mAddresses[name] = ToAddress(item.substr(equals + 1));
  }
}

int
RunServer(int aCount, char** aArguments)
{
  cxxopts::Options options("camphorstep-standin server",
                           "A database server for tests.");
  auto add = options.add_options();
  add("help", "print this help");
  add("name", "the server's name", cxxopts::value<std::string>());
  add("group",
      "the servers of the group, the first starts as primary",
      cxxopts::value<std::string>());
  add("control", "address of the control page", cxxopts::value<std::string>());
  add("slots",
      "statements run at once",
      cxxopts::value<int>()->default_value("5"));
  add("max-connections",
      "connections taken",
      cxxopts::value<int>()->default_value("30"));
  add("open-us",
      "cost of opening a connection",
      cxxopts::value<int>()->default_value("12000"));
  add("statement-us",
      "time a statement takes",
      cxxopts::value<int>()->default_value("2000"));
  add("lag-ms", "replica lag", cxxopts::value<int>()->default_value("20"));
  const cxxopts::ParseResult result = options.parse(aCount, aArguments);
  if (result.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  StandinSettings settings;
  settings.mName = result["name"].as<std::string>();
  ReadGroup(result["group"].as<std::string>(), settings);
  settings.mListen = settings.mAddresses.at(settings.mName);
  settings.mControl = ToAddress(result["control"].as<std::string>());
  settings.mSlots = result["slots"].as<int>();
  settings.mMaxConnections = result["max-connections"].as<int>();
  settings.mOpenTime = Duration(result["open-us"].as<int>());

  Faults faults;
  faults.mStatementMicros = result["statement-us"].as<int>();
  faults.mLagMicros = std::int64_t{ result["lag-ms"].as<int>() } * 1'000;

  std::vector<ServerId> voters;
  for (const std::string& name : settings.mGroup) {
    voters.push_back(IdOf<ServerId>(name));
  }
  DatabaseState state(IdOf<ServerId>(settings.mName),
                      voters,
                      settings.mName == settings.mGroup.front());
  InitializeLog("standin", settings.mName);
  DatabaseServer server(settings, state, faults);
  const StandinControl control(settings, server, state, faults);
  std::thread([&] { FollowLeader(settings, state, faults); }).detach();
  std::thread([&] { ApplyWithLag(state, faults); }).detach();
  server.Run();
  return 0;
}

int
RunPlatform(int aCount, char** aArguments)
{
  cxxopts::Options options("camphorstep-standin platform",
                           "The platform's services for tests.");
  auto add = options.add_options();
  add("help", "print this help");
  add("listen", "address of the services", cxxopts::value<std::string>());
  add("control", "address of the control page", cxxopts::value<std::string>());
  const cxxopts::ParseResult result = options.parse(aCount, aArguments);
  if (result.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  InitializeLog("standin", "platform");
  PlatformServer(ToAddress(result["listen"].as<std::string>()),
                 ToAddress(result["control"].as<std::string>()))
    .Run();
  return 0;
}

}

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  const std::string role = aCount > 1 ? aArguments[1] : "";
  try {
    if (role == "server") {
      return RunServer(aCount - 1, aArguments + 1);
    }
    if (role == "platform") {
      return RunPlatform(aCount - 1, aArguments + 1);
    }
    if (role == "relay") {
      return RunRelay(aCount - 1, aArguments + 1);
    }
    std::cerr << "usage: camphorstep-standin server|relay|platform --help\n";
    return 2;
  } catch (const std::exception& ex) {
    std::cerr << "camphorstep-standin " << role << ": " << ex.what() << "\n";
    return 1;
  }
}
