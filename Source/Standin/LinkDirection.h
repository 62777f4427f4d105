#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

#include "Common/Time.h"

namespace camphorstep {

/// One direction of a link. Its rate is shared by everything that crosses it
/// that way. The control page changes the figures while the relay runs.
struct LinkDirection
{
  std::atomic<std::int64_t> mDelayMicros{ 0 };
  /// Zero: no limit.
  std::atomic<std::int64_t> mBytesPerSecond{ 0 };
  /// Nothing passes while this is set: streams stand still and go on later,
  /// as after retransmission; datagrams are lost.
  std::atomic<bool> mCut{ false };
  /// Flows up to this number are silent for good: their bytes vanish.
  std::atomic<std::uint64_t> mSilentUpTo{ 0 };
  std::atomic<std::uint64_t> mBytes{ 0 };
  std::atomic<std::uint64_t> mDatagramsLost{ 0 };
  /// When the link has sent all that it has taken.
  Instant mFreeAt{};
};

/// Takes bytes onto the link and returns when they arrive at the other side.
Instant Transmit(LinkDirection& aDirection, Instant aNow, std::size_t aBytes);

/// Whether the link has so much to send that it takes no more for now.
bool IsCongested(const LinkDirection& aDirection, Instant aNow);

}
