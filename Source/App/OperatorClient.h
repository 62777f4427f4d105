#pragma once

#include <cxxopts.hpp>

#include "Shell/OperatorCalls.h"

namespace camphorstep {

// Exit statuses of the commands for operators, besides 0 for success.
constexpr int kExitRefused = 1;
/// The change may or may not have been accepted.
constexpr int kExitUnknown = 3;
/// Another operator was first.
constexpr int kExitConflict = 4;

/// Adds --address and --token.
void AddTargetOptions(cxxopts::Options& aOptions);

/// Reads --address and --token, or the environment variables
/// CAMPHORSTEP_ADDRESS and CAMPHORSTEP_TOKEN. Throws std::runtime_error.
OperatorTarget ReadTarget(const cxxopts::ParseResult& aArguments);

/// Prints an answer's message, and its code if it is not success, and gives
/// the exit status.
int Report(const OperatorAnswer& aAnswer);

}
