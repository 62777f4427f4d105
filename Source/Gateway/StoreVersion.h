#pragma once

#include <cstdint>

namespace camphorstep::gateway {

/// A version of the store's rows. The store gives numbers out again when it
/// returns from an older copy; its era is the number of these returns. A
/// version has the era in its upper bits and the number in its lower bits, so
/// that all versions of an era come after those of the eras before it.
using StoreVersion = std::uint64_t;

constexpr unsigned kVersionNumberBits = 40;

constexpr StoreVersion
MakeStoreVersion(std::uint64_t aEra, std::uint64_t aNumber)
{
  return (aEra << kVersionNumberBits) | aNumber;
}

/// Returns the era in which a version was given out.
constexpr std::uint64_t
EraOf(StoreVersion aVersion)
{
  return aVersion >> kVersionNumberBits;
}

/// Returns the number by which the store knows a version.
constexpr std::uint64_t
NumberOf(StoreVersion aVersion)
{
  return aVersion & ((std::uint64_t{ 1 } << kVersionNumberBits) - 1);
}

}
