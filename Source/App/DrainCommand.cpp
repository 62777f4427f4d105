#include <iostream>

#include "App/CommandLine.h"
#include "App/Commands.h"
#include "App/OperatorClient.h"
#include "Shell/OperatorJson.h"

namespace camphorstep {

int
RunDrainCommand(int aCount, const char* const* aArguments)
{
  cxxopts::Options options = MakeOptions(
    "drain", "Stops a host as planned: it hands over, finishes and exits.");
  AddTargetOptions(options);
  options.add_options()("reason",
                        "why, for the audit trail",
                        cxxopts::value<std::string>(),
                        "TEXT");
  int status = 0;
  const auto arguments = ParseArguments(options, aCount, aArguments, status);
  if (!arguments) {
    return status;
  }
  const std::string reason = RequireOption(*arguments, "reason", status);
  if (reason.empty()) {
    return status;
  }
  const OperatorTarget target = ReadTarget(*arguments);
  if (target.mAddresses.size() != 1) {
    std::cerr << "--address takes one host here\n";
    return kExitUsage;
  }
  return Report(CallHost(target.mAddresses.front(),
                         target.mToken,
                         "/v1/drain",
                         ToJson(DrainHost{ reason })));
}

}
