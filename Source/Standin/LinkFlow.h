#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "Common/Time.h"
#include "Model/Topology.h"
#include "Standin/FileDescriptor.h"
#include "Standin/LinkDirection.h"

namespace camphorstep {

/// Bytes on their way over a link; an empty chunk is the end of the stream.
struct Chunk
{
  Instant mArrives{};
  std::string mBytes;
};

/// One way of a stream: reads at one socket and writes, after the link's
/// delay, at the other.
struct HalfFlow
{
  LinkDirection* mDirection = nullptr;
  std::deque<Chunk> mChunks;
  std::size_t mWritten = 0;
  bool mReadEnded = false;
  bool mWriteEnded = false;
};

/// A TCP connection through a link. The target is connected to only when the
/// handshake would have crossed the link.
struct LinkFlow
{
  std::uint64_t mNumber = 0;
  FileDescriptor mCaller;
  FileDescriptor mTarget;
  Address mTargetAddress;
  Instant mReadFrom{};
  Instant mConnectAt{};
  HalfFlow mThere;
  HalfFlow mBack;
  bool mFailed = false;
};

/// Whether this half wants to read now.
bool WantsInput(const LinkFlow& aFlow, const HalfFlow& aHalf, Instant aNow);

/// Whether this half has bytes that are due.
bool WantsOutput(const HalfFlow& aHalf, Instant aNow);

/// Reads from a socket onto the link; false if the connection failed.
bool ReadOnto(HalfFlow& aHalf, std::uint64_t aNumber, int aFrom, Instant aNow);

/// Writes what has arrived; false if the connection failed.
bool WriteArrived(HalfFlow& aHalf, int aTo, Instant aNow);

/// Whether both ways have come to their ends.
bool IsOver(const LinkFlow& aFlow);

}
