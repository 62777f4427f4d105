#include <iostream>

#include "App/CommandLine.h"
#include "App/Commands.h"
#include "Model/ResultCode.h"
#include "Settings/Settings.h"

namespace camphorstep {

int
RunCheckCommand(int aCount, const char* const* aArguments)
{
  cxxopts::Options options =
    MakeOptions("check", "Checks a settings file without starting anything.");
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
  try {
    const Settings settings = ParseSettings(ReadIniFile(path));
    std::cout << path << ": ok, " << settings.mTopology.mHosts.size()
              << " hosts, " << settings.mTopology.mDatabases.size()
              << " databases, " << settings.mTopology.mServers.size()
              << " servers\n";
    return 0;
  } catch (const std::exception& ex) {
    std::cerr << "error " << static_cast<unsigned>(ResultCode::InvalidSettings)
              << " (" << NameOf(ResultCode::InvalidSettings)
              << "): " << ex.what() << "\n";
    return 1;
  }
}

}
