#include <iostream>

#include "App/AuditPrinter.h"
#include "App/CommandLine.h"
#include "App/Commands.h"

namespace camphorstep {

int
RunAuditCommand(int aCount, const char* const* aArguments)
{
  cxxopts::Options options = MakeOptions("audit", "Shows the audit trail.");
  AddTargetOptions(options);
  AddAuditOptions(options);
  int status = 0;
  const auto arguments = ParseArguments(options, aCount, aArguments, status);
  if (!arguments) {
    return status;
  }
  return PrintAudit(ReadTarget(*arguments), ReadAuditFilter(*arguments), "");
}

}
