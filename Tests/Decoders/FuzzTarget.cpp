#include <array>
#include <cstdint>
#include <cstring>
#include <iostream>
#include <string>

#include <sodium.h>

#include "Decoders/Decoders.h"

namespace {

using namespace camphorstep::fuzz;

struct DecoderRow
{
  const char* mName;
  void (*mDecode)(const std::string&);
};

constexpr std::array kDecoders{
  DecoderRow{ "caller-request", DecodeCallerRequest },
  DecoderRow{ "peer-frame", DecodePeerFrame },
  DecoderRow{ "server-reply", DecodeServerReply },
  DecoderRow{ "session-token", DecodeSessionToken },
  DecoderRow{ "settings", DecodeSettings },
  DecoderRow{ "profiles", DecodeProfiles },
  DecoderRow{ "store-rows", DecodeStoreRows },
  DecoderRow{ "gateway-peer", DecodeGatewayPeer },
  DecoderRow{ "server-line", DecodeServerLine },
};

const DecoderRow* gDecoder = nullptr;

}

/// Takes the decoder's name from the program's, camphorstep-decode-NAME.
extern "C" int
LLVMFuzzerInitialize(int* /*aCount*/, char*** aArguments)
{
  if (sodium_init() < 0) {
    return 1;
  }
  const std::string program = (*aArguments)[0];
  for (const DecoderRow& row : kDecoders) {
    if (program.ends_with(std::string("camphorstep-decode-") + row.mName)) {
      gDecoder = &row;
    }
  }
  if (gDecoder == nullptr) {
    std::cerr << program << " names no decoder\n";
    std::exit(2);
  }
  return 0;
}

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  std::string bytes(aSize, '\0');
  if (aSize > 0) {
    std::memcpy(bytes.data(), aData, aSize);
  }
  gDecoder->mDecode(bytes);
  return 0;
}
