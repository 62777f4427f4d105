#include <sodium.h>

#include "App/CommandLine.h"
#include "App/Commands.h"
#include "Common/Log.h"
#include "Model/Profile.h"
#include "Settings/Settings.h"
#include "Shell/CallerListener.h"
#include "Shell/MetricsExporter.h"
#include "Shell/OperatorListener.h"
#include "Shell/Runtime.h"
#include "Shell/StopSignal.h"

namespace camphorstep {

namespace {

void
ServeUntilStopped(const Settings& aSettings)
{
  Runtime runtime(aSettings);
  if (!aSettings.mProfileFile.empty()) {
    runtime.Post(ConfigurationLoaded{
      ParseConfiguration(ReadIniFile(aSettings.mProfileFile), 1) });
  }
  const StopSignal stopSignal([&runtime] { runtime.Post(StopRequested{}); });
  const OperatorListener operators(aSettings, runtime.Board(), runtime);
  const MetricsExporter metrics(aSettings.mMetricsAddress, runtime.Board());
  const CallerListener callers(aSettings, runtime.Gateway());
  WriteLog(LogLevel::Info,
           "proxy started",
           { { "callers",
               aSettings.mCallerAddress.mIp + ":" +
                 std::to_string(aSettings.mCallerAddress.mPort) } });
  runtime.Run();
}

}

int
RunProxyCommand(int aCount, const char* const* aArguments)
{
  cxxopts::Options options = MakeOptions("proxy", "Runs the proxy.");
  options.add_options()(
    "settings", "the settings file", cxxopts::value<std::string>(), "FILE");
  int status = 0;
  const auto arguments = ParseArguments(options, aCount, aArguments, status);
  if (!arguments) {
    return status;
  }
  const std::string path = RequireOption(*arguments, "settings", status);
  if (path.empty()) {
    return status;
  }
  BlockStopSignals();
  if (sodium_init() < 0) {
    std::cerr << "libsodium could not be initialized\n";
    return 1;
  }
  const Settings settings = ParseSettings(ReadIniFile(path));
  InitializeLog("proxy", settings.mHostName);
  ServeUntilStopped(settings);
  WriteLog(LogLevel::Info, "proxy stopped");
  return 0;
}

}
