#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "Common/Mac.h"
#include "Messages/PeerMessage.h"

namespace camphorstep {

/// What stands in one authenticated frame between hosts.
struct PeerEnvelope
{
  HostId mFrom;
  HostId mTo;
  /// The challenge of the accepting host and the count of the frame on its
  /// connection.
  std::uint64_t mChallenge = 0;
  std::uint64_t mCount = 0;
  PeerMessage mMessage;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFrom, mTo, mChallenge, mCount, mMessage);
  }
};

/// Encodes an envelope and puts its MAC in front.
std::string SealPeerFrame(const MacKey& aKey, const PeerEnvelope& aEnvelope);

/// Checks and decodes a frame; throws DecodeError if it is malformed or not
/// authentic.
PeerEnvelope OpenPeerFrame(const MacKey& aKey, std::string_view aPayload);

}
