#include <cstdlib>

#include <sodium.h>

#include "App/CommandLine.h"
#include "App/Commands.h"
#include "Common/Log.h"
#include "Settings/GatewaySettings.h"
#include "Shell/GatewayRuntime.h"
#include "Shell/StopSignal.h"
#include "platform/Adapter.h"

namespace camphorstep {

namespace {

constexpr const char* kSettingsVariable = "CAMPHORSTEP_SETTINGS";

/// The settings file: the option, or else what the environment names.
std::string
SettingsPath(const cxxopts::ParseResult& aArguments)
{
  if (aArguments.count("settings") > 0) {
    return aArguments["settings"].as<std::string>();
  }
  const char* const path = std::getenv(kSettingsVariable);
  return path == nullptr ? "" : path;
}

}

int
RunGatewayCommand(int aCount, const char* const* aArguments)
{
  cxxopts::Options options =
    MakeOptions("gateway", "Runs the proxy on the users' platform.");
  options.add_options()("settings",
                        "the settings file; otherwise the environment variable "
                        "CAMPHORSTEP_SETTINGS names it",
                        cxxopts::value<std::string>(),
                        "FILE");
  int status = 0;
  const auto arguments = ParseArguments(options, aCount, aArguments, status);
  if (!arguments) {
    return status;
  }
  const std::string path = SettingsPath(*arguments);
  if (path.empty()) {
    std::cerr << "option --settings is missing and CAMPHORSTEP_SETTINGS is not "
                 "set\n";
    return kExitUsage;
  }
  BlockStopSignals();
  if (sodium_init() < 0) {
    std::cerr << "libsodium could not be initialized\n";
    return 1;
  }
  GatewayRuntime runtime(path, platform::MakeAdapter);
  const GatewaySettings& settings = runtime.Settings();
  InitializeLog("gateway", settings.mHostName);
  const StopSignal stopSignal([&runtime] { runtime.RequestStop(); },
                              [&runtime] { runtime.RequestReload(); });
  WriteLog(LogLevel::Info,
           "gateway started",
           { { "data_centre", settings.mDataCentre } });
  runtime.Run();
  WriteLog(LogLevel::Info, "gateway stopped");
  return 0;
}

}
