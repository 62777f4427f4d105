#include "Common/Mac.h"

#include <sodium.h>

namespace camphorstep {

namespace {

const unsigned char*
AsBytes(std::string_view aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

std::string
KeyedHash(const unsigned char* aKey,
          std::size_t aKeySize,
          std::string_view aBytes,
          std::size_t aSize)
{
  std::string digest(aSize, '\0');
  crypto_generichash(reinterpret_cast<unsigned char*>(digest.data()),
                     aSize,
                     AsBytes(aBytes),
                     aBytes.size(),
                     aKey,
                     aKeySize);
  return digest;
}

}

MacKey
DeriveMacKey(std::string_view aSecret, std::string_view aContext)
{
  const std::string secretDigest = KeyedHash(nullptr, 0, aSecret, kMacKeySize);
  const std::string digest = KeyedHash(
    AsBytes(secretDigest), secretDigest.size(), aContext, kMacKeySize);
  MacKey key{};
  std::copy(digest.begin(), digest.end(), key.begin());
  return key;
}

std::string
ComputeMac(const MacKey& aKey, std::string_view aBytes)
{
  return KeyedHash(aKey.data(), aKey.size(), aBytes, kMacSize);
}

bool
VerifyMac(const MacKey& aKey, std::string_view aBytes, std::string_view aMac)
{
  return SecretsEqual(ComputeMac(aKey, aBytes), aMac);
}

std::string
EncodeBase64(std::string_view aBytes)
{
  constexpr int kVariant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
  std::string text(sodium_base64_encoded_len(aBytes.size(), kVariant), '\0');
  sodium_bin2base64(
    text.data(), text.size(), AsBytes(aBytes), aBytes.size(), kVariant);
  text.pop_back(); // the terminating zero that libsodium writes
  return text;
}

bool
DecodeBase64(std::string_view aText, std::string& aBytes)
{
  aBytes.assign(aText.size(), '\0');
  std::size_t n = 0;
  const int ec =
    sodium_base642bin(reinterpret_cast<unsigned char*>(aBytes.data()),
                      aBytes.size(),
                      aText.data(),
                      aText.size(),
                      nullptr,
                      &n,
                      nullptr,
                      sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  aBytes.resize(ec == 0 ? n : 0);
  return ec == 0;
}

bool
SecretsEqual(std::string_view aFirst, std::string_view aSecond)
{
  return aFirst.size() == aSecond.size() &&
         sodium_memcmp(aFirst.data(), aSecond.data(), aFirst.size()) == 0;
}

}
