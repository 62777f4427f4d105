#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace camphorstep {

/// An integer identifier that cannot be mixed up with one of another kind.
template<typename Tag>
struct StrongId
{
  std::uint64_t mValue = 0;

  auto operator<=>(const StrongId&) const = default;

  /// Tells whether the identifier names anything; zero is "none".
  explicit operator bool() const { return mValue != 0; }

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mValue);
  }
};

}

template<typename Tag>
struct std::hash<camphorstep::StrongId<Tag>>
{
  std::size_t operator()(camphorstep::StrongId<Tag> aId) const noexcept
  {
    return std::hash<std::uint64_t>{}(aId.mValue);
  }
};
