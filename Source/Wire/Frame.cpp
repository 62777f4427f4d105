#include "Wire/Frame.h"

#include <cstring>
#include <stdexcept>

namespace camphorstep {

namespace {

constexpr std::size_t kHeaderSize = sizeof(std::uint32_t);
/// Consumed bytes are dropped once there are this many of them.
constexpr std::size_t kCompactThreshold = 64 * 1024;

}

std::string
MakeFrame(std::string_view aPayload)
{
  if (aPayload.size() > kMaxFrameSize) {
    throw std::length_error("frame is too large");
  }
  const auto size = static_cast<std::uint32_t>(aPayload.size());
  std::string frame(kHeaderSize, '\0');
  std::memcpy(frame.data(), &size, kHeaderSize);
  frame.append(aPayload);
  return frame;
}

void
FrameBuffer::Append(std::string_view aBytes)
{
  if (mOffset > kCompactThreshold || mOffset == mBytes.size()) {
    mBytes.erase(0, mOffset);
    mOffset = 0;
  }
  mBytes.append(aBytes);
}

std::optional<std::string>
FrameBuffer::Next()
{
  if (mBytes.size() - mOffset < kHeaderSize) {
    return std::nullopt;
  }
  std::uint32_t size = 0;
  std::memcpy(&size, mBytes.data() + mOffset, kHeaderSize);
  if (size > kMaxFrameSize) {
    throw std::length_error("frame is too large");
  }
  if (mBytes.size() - mOffset - kHeaderSize < size) {
    return std::nullopt;
  }
  std::string payload = mBytes.substr(mOffset + kHeaderSize, size);
  mOffset += kHeaderSize + size;
  // A large frame must not leave a large buffer behind.
  if (mOffset == mBytes.size() && mBytes.capacity() > kCompactThreshold) {
    mBytes = std::string();
    mOffset = 0;
  }
  return payload;
}

}
