#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "Budget/CallerWait.h"
#include "Budget/ProcessLimits.h"
#include "Common/IniFile.h"
#include "Common/Time.h"
#include "Model/Topology.h"
#include "RateLimits/Limit.h"

namespace camphorstep {

/// The settings of a gateway process, read from an INI file.
struct GatewaySettings
{
  // [host]
  std::string mHostName;
  std::string mDataCentre;
  /// The processor time that the host may use, in cores.
  double mProcessorShare = 1.0;
  /// The memory that the process may use, in megabytes; 0 sets no limit.
  double mMemoryMb = 0;
  /// The descriptors that the process may open; 0 sets no limit.
  std::int64_t mDescriptors = 0;

  // [callers]
  /// The most that the values and prepared statements of a session may take, in
  /// kilobytes.
  std::int64_t mSessionKb = 2'048;
  CallerTimeouts mCallerTimeouts;

  // [listen]
  Address mCallerAddress;
  Address mReadinessAddress;
  Address mPeerAddress;
  Address mMetricsAddress;

  // [stop]
  /// How long a stop may take before the process is killed.
  Duration mStopGrace{ 6'000'000 };

  // [rate_limits]
  /// How far the operations in a window may exceed an account's limit.
  gateway::LimitBounds mLimitBounds;

  // [relay]
  /// Whether sessions are passed on to the owners of connections where
  /// connections are scarce.
  bool mIsRelaying = false;

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

/// What the settings leave to each kind of connection.
ProcessLimits LimitsOf(const GatewaySettings& aSettings);

/// Reads settings. Throws std::runtime_error naming file and line for
/// malformed lines, unknown sections and keys, values out of range and
/// missing keys.
GatewaySettings ParseGatewaySettings(const IniFile& aFile);

}
