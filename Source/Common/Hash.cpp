#include "Common/Hash.h"

#include <array>

#include <xxhash.h>

namespace camphorstep {

std::uint64_t
Hash64(std::string_view aBytes)
{
  return XXH3_64bits(aBytes.data(), aBytes.size());
}

std::uint64_t
HashPair(std::uint64_t aFirst, std::uint64_t aSecond)
{
  const std::array<std::uint64_t, 2> pair{ aFirst, aSecond };
  return XXH3_64bits(pair.data(), sizeof(pair));
}

}
