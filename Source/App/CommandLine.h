#pragma once

#include <iostream>
#include <optional>
#include <string>

#include <cxxopts.hpp>

namespace camphorstep {

constexpr int kExitUsage = 2;

/// Makes the options that every subcommand has.
inline cxxopts::Options
MakeOptions(const std::string& aName, const std::string& aHelp)
{
  cxxopts::Options options("camphorstep " + aName, aHelp);
  options.add_options()("h,help", "print this help")("version",
                                                     "print the version");
  return options;
}

/// Parses a subcommand's arguments. Answers --help and --version itself, and
/// then or on bad usage gives nothing and sets the exit status.
inline std::optional<cxxopts::ParseResult>
ParseArguments(cxxopts::Options& aOptions,
               int aCount,
               const char* const* aArguments,
               int& aStatus)
{
  try {
    cxxopts::ParseResult result = aOptions.parse(aCount, aArguments);
    if (result.count("help") > 0) {
      std::cout << aOptions.help();
      aStatus = 0;
      return std::nullopt;
    }
    if (result.count("version") > 0) {
      std::cout << "camphorstep " << CAMPHORSTEP_VERSION << "\n";
      aStatus = 0;
      return std::nullopt;
    }
    if (!result.unmatched().empty()) {
      std::cerr << "unexpected argument '" << result.unmatched().front()
                << "'\n";
      aStatus = kExitUsage;
      return std::nullopt;
    }
    return result;
  } catch (const cxxopts::exceptions::exception& ex) {
    std::cerr << ex.what() << "\n" << aOptions.help();
    aStatus = kExitUsage;
    return std::nullopt;
  }
}

/// Reads an option that must be given; empty and a message if it is not.
inline std::string
RequireOption(const cxxopts::ParseResult& aResult,
              const std::string& aName,
              int& aStatus)
{
  if (aResult.count(aName) == 0) {
    std::cerr << "option --" << aName << " is missing\n";
    aStatus = kExitUsage;
    return {};
  }
  return aResult[aName].as<std::string>();
}

}
