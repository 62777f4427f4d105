#pragma once

#include <string>
#include <unordered_map>

#include "Common/IniFile.h"
#include "Common/Time.h"
#include "Model/Topology.h"

namespace camphorstep {

/// The settings of a gateway process, read from an INI file.
struct GatewaySettings
{
  // [host]
  std::string mHostName;
  std::string mDataCentre;
  /// The processor time that the host may use, in cores.
  double mProcessorShare = 1.0;

  // [listen]
  Address mCallerAddress;
  Address mReadinessAddress;
  Address mPeerAddress;
  Address mMetricsAddress;

  // [stop]
  /// How long a stop may take before the process is killed.
  Duration mStopGrace{ 6'000'000 };

  // [relay]
  /// Whether sessions are passed on to the owners of connections where
  /// connections are scarce.
  bool mIsRelaying = false;

  // [platform]
  Address mStoreAddress;
  Address mPromotionAddress;

  /// [data_centre.*]: the region of each data centre.
  std::unordered_map<std::string, std::string> mRegions;
};

/// Reads settings. Throws std::runtime_error naming file and line for
/// malformed lines, unknown sections and keys, values out of range and
/// missing keys.
GatewaySettings ParseGatewaySettings(const IniFile& aFile);

}
