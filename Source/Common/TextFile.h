#pragma once

#include <string>

namespace camphorstep {

/// Reads a whole file; throws std::runtime_error.
std::string ReadTextFile(const std::string& aPath);

}
