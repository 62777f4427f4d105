#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Model/Topology.h"

namespace camphorstep {

/// An address on which a link relay listens, over TCP and UDP, for one side's
/// traffic to a target on the other side.
struct ForwardRule
{
  Address mListen;
  Address mTarget;
  /// Whether the traffic goes from the link's far side to its near side.
  bool mIsBackward = false;
};

/// What a link relay is started with.
struct LinkSettings
{
  std::string mName;
  Address mControl;
  /// One way.
  Duration mDelay{ 0 };
  /// Each way, shared by all flows; zero: no limit.
  std::int64_t mBytesPerSecond = 0;
  std::vector<ForwardRule> mRules;
};

}
