#pragma once

#include <string>

#include "Model/Topology.h"

namespace camphorstep {

/// Fetches a control page of a stand-in; throws if it fails.
std::string FetchControlPage(const Address& aControl,
                             const std::string& aPath,
                             const std::string& aQuery);

}
