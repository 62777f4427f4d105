#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Model/Topology.h"

namespace camphorstep {

/// What a stand-in database server is started with.
struct StandinSettings
{
  std::string mName;
  Address mListen;
  Address mControl;
  /// The servers of the group in order; the first starts as primary.
  std::vector<std::string> mGroup;
  std::map<std::string, Address> mAddresses;
  int mSlots = 5;
  int mMaxConnections = 30;
  /// Statements that may wait for a slot before the server says "busy".
  int mMaxWaiting = 20;
  /// What opening a connection costs.
  Duration mOpenTime{ 12'000 };
};

}
