#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorstep {

/// The largest frame that any connection takes.
constexpr std::size_t kMaxFrameSize = 4 * 1024 * 1024;

/// A frame is its payload's length (four bytes, little-endian) and the
/// payload.
std::string MakeFrame(std::string_view aPayload);

/// Collects bytes as they arrive and cuts them into frames.
class FrameBuffer
{
public:
  /// Takes bytes from a connection.
  void Append(std::string_view aBytes);

  /// Takes out the next whole payload, if there is one. Throws
  /// std::length_error if the announced length is over kMaxFrameSize.
  std::optional<std::string> Next();

  /// The number of bytes of the next frame that have arrived.
  std::size_t Pending() const { return mBytes.size() - mOffset; }

  /// What the bytes take of the memory.
  std::size_t Capacity() const { return mBytes.capacity(); }

private:
  std::string mBytes;
  std::size_t mOffset = 0;
};

}
