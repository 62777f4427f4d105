#pragma once

#include <string>

#include "Model/Topology.h"

namespace camphorstep {

/// Reads a page with a bearer token. Throws on network errors and when the
/// answer's status is not 200.
std::string FetchPage(const Address& aAddress,
                      const std::string& aPath,
                      const std::string& aToken);

}
