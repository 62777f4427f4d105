#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "Common/IniFile.h"
#include "Common/Time.h"
#include "Model/Topology.h"

namespace camphorstep {

class IniReader;

/// The settings of one proxy process, read from an INI file at start. All
/// defaults stand here; docs/SETTINGS.md describes each key.
struct Settings
{
  // [host]
  std::string mHostName;
  std::string mDataCentre;
  /// The generation that the platform gave the host; zero if it gave none.
  std::uint64_t mGeneration = 0;

  // [listen]
  Address mCallerAddress;
  Address mOperatorAddress;
  Address mPeerAddress;
  Address mMetricsAddress;

  // [secrets]
  std::string mPeerSecret;
  std::string mSessionSecret;

  // [limits]
  std::uint32_t mMaxRequestBytes = 1024 * 1024;
  std::uint32_t mCallerThreads = 256;
  Duration mCallerReadTimeout{ 10'000'000 };
  Duration mStopTimeout{ 30'000'000 };
  /// For this long a stopping host still takes new work, until the balancer
  /// has seen the health check fail.
  Duration mStopNotice{ 2'000'000 };

  // [platform]
  Address mPlatformAddress;

  // [data_centre.*], [peer.*], [database.*] and [server.*]
  Topology mTopology;

  /// [caller.*]: bearer token to service name.
  std::unordered_map<std::string, std::string> mCallers;
  /// [operator.*]: bearer token to operator name.
  std::unordered_map<std::string, std::string> mOperators;

  HostId Self() const { return IdOf<HostId>(mHostName); }
};

/// Reads settings. Throws std::runtime_error naming file and line for
/// malformed lines, unknown sections and keys, values out of range, missing
/// keys and references to things that are not there.
Settings ParseSettings(const IniFile& aFile);

/// Reads an IP address and port that must be present.
Address RequireAddress(IniReader& aReader, std::string_view aKey);

/// Reads "IP:PORT".
bool ParseAddress(const std::string& aText, Address& aAddress);

}
