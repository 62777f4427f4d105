#pragma once

#include <compare>
#include <cstdint>

namespace camphorstep {

/// The number of a primary's reign. Each promotion takes a higher one.
using Term = std::uint64_t;

/// A place in a database's log: the term under which the entry was written,
/// then its index, which counts on across terms.
struct Position
{
  Term mTerm = 0;
  std::uint64_t mIndex = 0;

  auto operator<=>(const Position&) const = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm, mIndex);
  }
};

}
