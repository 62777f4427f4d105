#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Crowd.h"
#include "GatewayProcess.h"

namespace camphorstep::crowds {

/// The listeners of a gateway, in the order of their ports.
enum class Listener : std::uint8_t
{
  Callers,
  Readiness,
  Peers,
  Metrics,
};

/// A crowd of clients that do not behave, and what the gateway's settings
/// allow its process.
struct Case
{
  std::string mName;
  Behaviour mBehaviour;
  Listener mListener = Listener::Callers;
  ProcessLimits mLimits = { 64, 512 };
  /// Whether the ordinary requests are made while the crowd's connections
  /// stand, rather than after they have gone.
  bool mCrowdStays = false;
};

/// The database that callers use, and an item with a large text in it.
extern const std::string kDatabase;
extern const std::string kLargeItem;
constexpr std::size_t kLargeItemBytes = 500'000;
/// A text that makes a message of legal size, which is 1 MiB at most.
constexpr std::size_t kLegalBytes = 1'000'000;

std::vector<Case> AllCases();

}
