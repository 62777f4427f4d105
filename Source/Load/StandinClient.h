#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Model/Topology.h"

namespace camphorstep {

/// What a stand-in server says of itself.
struct StandinStatus
{
  std::uint64_t mTerm = 0;
  bool mPrimary = false;
  std::uint64_t mLoggedTerm = 0;
  std::uint64_t mLoggedIndex = 0;
};

/// An entry of a stand-in server's log.
struct StandinLogEntry
{
  std::uint64_t mTerm = 0;
  std::vector<std::string> mStatements;
};

/// Sets faults on a stand-in server by its control page, such as "down=1".
void SetFault(const Address& aControl, const std::string& aParameters);

StandinStatus ReadStatus(const Address& aControl);

std::vector<StandinLogEntry> ReadLog(const Address& aControl);

}
