#include "Entry/SessionToken.h"

#include <cereal/types/map.hpp>

#include "Wire/Codec.h"

namespace camphorstep {

namespace {

/// The first byte of sealed content: its type and version.
enum class SealedKind : char
{
  SessionToken = 'S',
  TransactionHandle = 'T',
};

template<typename Content>
std::string
Seal(const MacKey& aKey, SealedKind aKind, const Content& aContent)
{
  const std::string body = static_cast<char>(aKind) + Encode(aContent);
  return EncodeBase64(body + ComputeMac(aKey, body));
}

template<typename Content>
std::optional<Content>
Open(const MacKey& aKey, SealedKind aKind, std::string_view aText)
{
  std::string bytes;
  if (!DecodeBase64(aText, bytes) || bytes.size() <= kMacSize) {
    return std::nullopt;
  }
  const std::string_view all = bytes;
  const std::string_view body = all.substr(0, all.size() - kMacSize);
  if (!VerifyMac(aKey, body, all.substr(body.size())) ||
      body.front() != static_cast<char>(aKind)) {
    return std::nullopt;
  }
  try {
    return Decode<Content>(body.substr(1));
  } catch (const DecodeError&) {
    return std::nullopt;
  }
}

}

std::string
SealSessionToken(const MacKey& aKey, const SessionToken& aToken)
{
  return Seal(aKey, SealedKind::SessionToken, aToken);
}

std::optional<SessionToken>
OpenSessionToken(const MacKey& aKey, std::string_view aText)
{
  return Open<SessionToken>(aKey, SealedKind::SessionToken, aText);
}

std::string
SealTransactionHandle(const MacKey& aKey, const TransactionHandle& aHandle)
{
  return Seal(aKey, SealedKind::TransactionHandle, aHandle);
}

std::optional<TransactionHandle>
OpenTransactionHandle(const MacKey& aKey, std::string_view aText)
{
  return Open<TransactionHandle>(aKey, SealedKind::TransactionHandle, aText);
}

}
