#include "Accounts/KeyDigest.h"

#include <array>
#include <cstring>

#include <sodium.h>

namespace camphorstep::gateway {

KeyDigest
DigestKey(std::string_view aKey)
{
  KeyDigest digest;
  if (aKey.empty()) {
    return digest;
  }
  std::array<unsigned char, sizeof(digest.mHigh) + sizeof(digest.mLow)> bytes{};
  crypto_generichash(bytes.data(),
                     bytes.size(),
                     reinterpret_cast<const unsigned char*>(aKey.data()),
                     aKey.size(),
                     nullptr,
                     0);
  std::memcpy(&digest.mHigh, bytes.data(), sizeof(digest.mHigh));
  std::memcpy(
    &digest.mLow, bytes.data() + sizeof(digest.mHigh), sizeof(digest.mLow));
  return digest;
}

}
