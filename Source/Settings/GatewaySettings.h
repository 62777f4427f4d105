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

  // [accounts]
  /// Callers with a key are refused once the configuration has not been
  /// confirmed for this long; zero turns that off.
  Duration mRevokeTimeout{ 0 };

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
