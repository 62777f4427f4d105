#include "Standin/RelayCommand.h"

#include <iostream>
#include <stdexcept>

#include <cxxopts.hpp>

#include "Common/Log.h"
#include "Settings/Settings.h"
#include "Standin/LinkRelay.h"
#include "Standin/RelayControl.h"

namespace camphorstep {

namespace {

using Texts = std::vector<std::string>;

Address
RequireAddress(const std::string& aText)
{
  Address address;
  if (!ParseAddress(aText, address)) {
    throw std::runtime_error("'" + aText + "' is not IP:PORT");
  }
  return address;
}

/// Reads "LISTEN=TARGET" items.
void
AddRules(LinkSettings& aSettings, const Texts& aItems, bool aIsBackward)
{
  for (const std::string& item : aItems) {
    // An option that is not given reads as one empty text.
    if (item.empty()) {
      continue;
    }
    const std::size_t equals = item.find('=');
    if (equals == std::string::npos) {
      throw std::runtime_error("'" + item + "' is not LISTEN=TARGET");
    }
    aSettings.mRules.push_back({ RequireAddress(item.substr(0, equals)),
                                 RequireAddress(item.substr(equals + 1)),
                                 aIsBackward });
  }
}

}

int
RunRelay(int aCount, char** aArguments)
{
  cxxopts::Options options("camphorstep-standin relay",
                           "A link between data centres, for tests.");
  auto add = options.add_options();
  add("help", "print this help");
  add("name", "the link's name", cxxopts::value<std::string>());
  add("control", "address of the control page", cxxopts::value<std::string>());
  add("delay-us",
      "delay of each direction",
      cxxopts::value<std::int64_t>()->default_value("0"));
  add("bytes-per-second",
      "rate of each direction, 0 for no limit",
      cxxopts::value<std::int64_t>()->default_value("0"));
  add("forward",
      "LISTEN=TARGET for traffic from the near to the far side",
      cxxopts::value<Texts>()->default_value(""));
  add("backward",
      "LISTEN=TARGET for traffic from the far to the near side",
      cxxopts::value<Texts>()->default_value(""));
  const cxxopts::ParseResult result = options.parse(aCount, aArguments);
  if (result.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  LinkSettings settings;
  settings.mName = result["name"].as<std::string>();
  settings.mControl = RequireAddress(result["control"].as<std::string>());
  settings.mDelay = Duration(result["delay-us"].as<std::int64_t>());
  settings.mBytesPerSecond = result["bytes-per-second"].as<std::int64_t>();
  AddRules(settings, result["forward"].as<Texts>(), false);
  AddRules(settings, result["backward"].as<Texts>(), true);

  InitializeLog("relay", settings.mName);
  LinkRelay relay(settings);
  const RelayControl control(settings.mControl, relay);
  relay.Run();
  return 0;
}

}
