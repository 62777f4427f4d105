#include "Standin/LinkDirection.h"

#include <algorithm>

namespace camphorstep {

namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;
/// How much a link buffers, as the time that it takes to send it.
constexpr Duration kMaxBacklog = std::chrono::milliseconds(100);

}

Instant
Transmit(LinkDirection& aDirection, Instant aNow, std::size_t aBytes)
{
  const std::int64_t rate = aDirection.mBytesPerSecond;
  aDirection.mFreeAt = std::max(aDirection.mFreeAt, aNow);
  if (rate > 0) {
    const auto bytes = static_cast<std::int64_t>(aBytes);
    aDirection.mFreeAt += Duration(bytes * kMicrosPerSecond / rate);
  }
  aDirection.mBytes += aBytes;
  return aDirection.mFreeAt + Duration(aDirection.mDelayMicros);
}

bool
IsCongested(const LinkDirection& aDirection, Instant aNow)
{
  return aDirection.mFreeAt > aNow + kMaxBacklog;
}

}
