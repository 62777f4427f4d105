#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Model/Topology.h"

namespace camphorstep {

/// What every scenario is given.
struct LoadSettings
{
  std::string mScenario;
  Duration mDuration{ 10'000'000 };
  std::uint64_t mSeed = 1;
  /// Callers' listeners of the proxies.
  std::vector<Address> mProxies;
  /// A database, and its servers with the initial primary first.
  std::string mDatabase;
  std::vector<Address> mServers;
  /// Control pages of the servers, in the same order.
  std::vector<Address> mControls;
  /// Names of the servers, in the same order.
  std::vector<std::string> mServerNames;
  /// Operators' listener of a proxy, and a token for it.
  Address mOperators;
  std::string mOperatorToken;
  /// Control pages of the links between data centres and between regions.
  std::vector<Address> mLinks;
  /// Bearer token of each service by rank: urgent, normal, background.
  std::vector<std::string> mTokens;
};

}
