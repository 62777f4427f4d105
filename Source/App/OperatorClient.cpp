#include "App/OperatorClient.h"

#include <cstdlib>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include "Settings/Settings.h"

namespace camphorstep {

namespace {

std::string
OptionOrVariable(const cxxopts::ParseResult& aArguments,
                 const char* aOption,
                 const char* aVariable)
{
  if (aArguments.count(aOption) > 0) {
    return aArguments[aOption].as<std::string>();
  }
  const char* const value = std::getenv(aVariable);
  if (value == nullptr) {
    throw std::runtime_error(std::string("option --") + aOption +
                             " or the variable " + aVariable + " is missing");
  }
  return value;
}

}

void
AddTargetOptions(cxxopts::Options& aOptions)
{
  auto add = aOptions.add_options();
  add("address",
      "operator listeners of hosts, tried in turn",
      cxxopts::value<std::string>(),
      "IP:PORT,...");
  add("token",
      "the operator's bearer token; better given in CAMPHORSTEP_TOKEN",
      cxxopts::value<std::string>(),
      "TOKEN");
}

OperatorTarget
ReadTarget(const cxxopts::ParseResult& aArguments)
{
  OperatorTarget target;
  target.mToken = OptionOrVariable(aArguments, "token", "CAMPHORSTEP_TOKEN");
  std::istringstream in(
    OptionOrVariable(aArguments, "address", "CAMPHORSTEP_ADDRESS"));
  for (std::string item; std::getline(in, item, ',');) {
    Address address;
    if (!ParseAddress(item, address)) {
      throw std::runtime_error("'" + item + "' is not IP:PORT");
    }
    target.mAddresses.push_back(address);
  }
  if (target.mAddresses.empty()) {
    throw std::runtime_error("--address names no host");
  }
  return target;
}

int
Report(const OperatorAnswer& aAnswer)
{
  if (aAnswer.mOutcome == Outcome::Done) {
    std::cout << aAnswer.mMessage << "\n";
    return 0;
  }
  std::cerr << "error " << static_cast<unsigned>(aAnswer.mCode) << " ("
            << NameOf(aAnswer.mCode) << "): " << aAnswer.mMessage << "\n";
  if (aAnswer.mOutcome == Outcome::Unknown) {
    return kExitUnknown;
  }
  return aAnswer.mCode == ResultCode::VersionConflict ? kExitConflict
                                                      : kExitRefused;
}

}
