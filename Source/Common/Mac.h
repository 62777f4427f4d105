#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace camphorstep {

constexpr std::size_t kMacSize = 16;
constexpr std::size_t kMacKeySize = 32;

using MacKey = std::array<unsigned char, kMacKeySize>;

/// Derives a key from a secret of any length (BLAKE2b). The context keeps
/// keys of different uses apart.
MacKey DeriveMacKey(std::string_view aSecret, std::string_view aContext);

/// Computes the message authentication code of some bytes (keyed BLAKE2b);
/// the result has kMacSize bytes.
std::string ComputeMac(const MacKey& aKey, std::string_view aBytes);

/// Compares a code in constant time with the one that the bytes should have.
bool VerifyMac(const MacKey& aKey,
               std::string_view aBytes,
               std::string_view aMac);

/// Encodes bytes in URL-safe base64 without padding.
std::string EncodeBase64(std::string_view aBytes);

/// Decodes URL-safe base64 without padding; false if the text is malformed.
bool DecodeBase64(std::string_view aText, std::string& aBytes);

/// Compares two secrets in a time that does not depend on where they differ.
bool SecretsEqual(std::string_view aFirst, std::string_view aSecond);

}
