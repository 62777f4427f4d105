#include "Wire/PeerFrame.h"

#include "Wire/Codec.h"

namespace camphorstep {

std::string
SealPeerFrame(const MacKey& aKey, const PeerEnvelope& aEnvelope)
{
  const std::string body = Encode(aEnvelope);
  return ComputeMac(aKey, body) + body;
}

PeerEnvelope
OpenPeerFrame(const MacKey& aKey, std::string_view aPayload)
{
  if (aPayload.size() < kMacSize) {
    throw DecodeError("frame is shorter than a MAC");
  }
  const std::string_view body = aPayload.substr(kMacSize);
  if (!VerifyMac(aKey, body, aPayload.substr(0, kMacSize))) {
    throw DecodeError("frame is not authentic");
  }
  return Decode<PeerEnvelope>(body);
}

}
