#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace camphorstep::gateway {

/// A one-way hash of a client account's key. Keys are hashed where they are
/// read, so that hosts neither keep nor exchange clear keys, and comparing them
/// tells nothing about a key by its time. All zero if there is no key.
struct KeyDigest
{
  std::uint64_t mHigh = 0;
  std::uint64_t mLow = 0;

  auto operator<=>(const KeyDigest&) const = default;

  explicit operator bool() const { return mHigh != 0 || mLow != 0; }

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHigh, mLow);
  }
};

/// Hashes a key; no key, and no digest, if the text is empty.
KeyDigest DigestKey(std::string_view aKey);

/// Hashes digests for unordered containers; they are evenly distributed.
struct KeyDigestHash
{
  std::size_t operator()(const KeyDigest& aDigest) const
  {
    return static_cast<std::size_t>(aDigest.mLow);
  }
};

}
