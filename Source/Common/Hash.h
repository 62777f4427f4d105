#pragma once

#include <cstdint>
#include <string_view>

namespace camphorstep {

/// Hashes bytes to 64 bits (XXH3), the same on every machine.
std::uint64_t Hash64(std::string_view aBytes);

/// Mixes two 64-bit values into one (XXH3 over both).
std::uint64_t HashPair(std::uint64_t aFirst, std::uint64_t aSecond);

}
