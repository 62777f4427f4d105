#pragma once

#include <chrono>
#include <cstdint>
#include <type_traits>

#include <cereal/cereal.hpp>

namespace camphorstep {

/// Archives a number in as few bytes as it needs, seven bits in each. The
/// reader throws cereal::Exception for a number of more than 64 bits.
template<typename Archive, typename Number>
void
ArchivePacked(Archive& aArchive, Number& aNumber)
{
  constexpr unsigned kBits = 7;
  constexpr std::uint64_t kMask = 0x7f;
  constexpr std::uint64_t kMore = 0x80;
  constexpr unsigned kMostBits = 64;
  if constexpr (Archive::is_saving::value) {
    auto left = static_cast<std::uint64_t>(aNumber);
    for (; left > kMask; left >>= kBits) {
      aArchive(static_cast<std::uint8_t>((left & kMask) | kMore));
    }
    aArchive(static_cast<std::uint8_t>(left));
  } else {
    std::uint64_t number = 0;
    std::uint8_t byte = kMore;
    for (unsigned shift = 0; (byte & kMore) != 0; shift += kBits) {
      if (shift >= kMostBits) {
        throw cereal::Exception("a packed number is too long");
      }
      aArchive(byte);
      number |= (byte & kMask) << shift;
    }
    aNumber = static_cast<Number>(number);
  }
}

/// Archives a time span, which must not be negative, as a packed number of
/// its ticks.
template<typename Archive, typename Rep, typename Period>
void
ArchivePacked(Archive& aArchive, std::chrono::duration<Rep, Period>& aDuration)
{
  auto ticks = static_cast<std::uint64_t>(aDuration.count());
  ArchivePacked(aArchive, ticks);
  aDuration = std::chrono::duration<Rep, Period>(static_cast<Rep>(ticks));
}

}
