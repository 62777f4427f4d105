#include <array>
#include <exception>
#include <iostream>
#include <string_view>

#include "App/Commands.h"

namespace {

constexpr int kUsageError = 2;

/// A subcommand of the program.
struct Command
{
  std::string_view mName;
  std::string_view mHelp;
  int (*mRun)(int, const char* const*);
};

constexpr std::array kCommands{
  Command{ "proxy", "run the proxy", camphorstep::RunProxyCommand },
  Command{ "gateway",
           "run the proxy on the users' platform",
           camphorstep::RunGatewayCommand },
  Command{ "check", "check a settings file", camphorstep::RunCheckCommand },
  Command{ "status", "show what hosts know", camphorstep::RunStatusCommand },
  Command{ "profile",
           "check|diff|publish|show|history|rollback: handle profiles",
           camphorstep::RunProfileCommand },
  Command{ "audit", "show the audit trail", camphorstep::RunAuditCommand },
  Command{ "drain", "stop a host as planned", camphorstep::RunDrainCommand },
};

void
PrintUsage(std::ostream& aOut)
{
  aOut << "usage: camphorstep COMMAND [OPTIONS]\n\ncommands:\n";
  for (const Command& command : kCommands) {
    aOut << "  " << command.mName << "\t" << command.mHelp << "\n";
  }
  aOut << "\n`camphorstep COMMAND --help` lists a command's options; "
          "`camphorstep --version` prints the version.\n";
}

int
RunCommand(std::string_view aName, int aCount, const char* const* aArguments)
{
  for (const Command& command : kCommands) {
    if (command.mName == aName) {
      return command.mRun(aCount, aArguments);
    }
  }
  std::cerr << "camphorstep: unknown command '" << aName << "'\n";
  PrintUsage(std::cerr);
  return kUsageError;
}

}

int
main(int aCount, char** aArguments)
{
  if (aCount < 2) {
    PrintUsage(std::cerr);
    return kUsageError;
  }
  const std::string_view name = aArguments[1];
  if (name == "--help" || name == "-h") {
    PrintUsage(std::cout);
    return 0;
  }
  if (name == "--version") {
    std::cout << "camphorstep " << CAMPHORSTEP_VERSION << "\n";
    return 0;
  }
  try {
    return RunCommand(name, aCount - 1, aArguments + 1);
  } catch (const std::exception& ex) {
    std::cerr << "camphorstep " << name << ": " << ex.what() << "\n";
    return 1;
  }
}
