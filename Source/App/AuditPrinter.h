#pragma once

#include <string>

#include <cxxopts.hpp>

#include "App/OperatorClient.h"
#include "Messages/OperatorMessage.h"

namespace camphorstep {

/// Adds --from, --to, --author and --profile.
void AddAuditOptions(cxxopts::Options& aOptions);

ReadAudit ReadAuditFilter(const cxxopts::ParseResult& aArguments);

/// Prints the records that match, oldest first; only those of one action
/// unless it is empty. Gives the exit status.
int PrintAudit(const OperatorTarget& aTarget,
               ReadAudit aFilter,
               const std::string& aAction);

}
