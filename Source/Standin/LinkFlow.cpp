#include "Standin/LinkFlow.h"

#include <array>
#include <cerrno>

#include <sys/socket.h>

namespace camphorstep {

namespace {

constexpr std::size_t kReadSize = 16 * 1024;

bool
IsSilent(const HalfFlow& aHalf, std::uint64_t aNumber)
{
  return aNumber <= aHalf.mDirection->mSilentUpTo;
}

bool
MeansTryLater(int aError)
{
  return aError == EAGAIN || aError == EWOULDBLOCK || aError == EINTR;
}

}

bool
WantsInput(const LinkFlow& aFlow, const HalfFlow& aHalf, Instant aNow)
{
  return !aHalf.mReadEnded && !aHalf.mDirection->mCut &&
         aNow >= aFlow.mReadFrom && !IsCongested(*aHalf.mDirection, aNow);
}

bool
WantsOutput(const HalfFlow& aHalf, Instant aNow)
{
  return !aHalf.mChunks.empty() && !aHalf.mDirection->mCut &&
         aHalf.mChunks.front().mArrives <= aNow;
}

bool
ReadOnto(HalfFlow& aHalf, std::uint64_t aNumber, int aFrom, Instant aNow)
{
  std::array<char, kReadSize> buf;
  const ssize_t n = ::recv(aFrom, buf.data(), buf.size(), 0);
  if (n < 0) {
    return MeansTryLater(errno);
  }
  aHalf.mReadEnded = n == 0;
  if (IsSilent(aHalf, aNumber)) {
    return true;
  }
  const auto size = static_cast<std::size_t>(n);
  aHalf.mChunks.push_back(Chunk{ Transmit(*aHalf.mDirection, aNow, size),
                                 std::string(buf.data(), size) });
  return true;
}

bool
WriteArrived(HalfFlow& aHalf, int aTo, Instant aNow)
{
  while (WantsOutput(aHalf, aNow)) {
    const std::string& bytes = aHalf.mChunks.front().mBytes;
    if (bytes.empty()) {
      ::shutdown(aTo, SHUT_WR);
      aHalf.mWriteEnded = true;
    } else {
      const ssize_t n = ::send(aTo,
                               bytes.data() + aHalf.mWritten,
                               bytes.size() - aHalf.mWritten,
                               MSG_NOSIGNAL);
      if (n < 0) {
        return MeansTryLater(errno);
      }
      aHalf.mWritten += static_cast<std::size_t>(n);
      if (aHalf.mWritten < bytes.size()) {
        return true;
      }
    }
    aHalf.mChunks.pop_front();
    aHalf.mWritten = 0;
  }
  return true;
}

bool
IsOver(const LinkFlow& aFlow)
{
  const bool written = aFlow.mThere.mWriteEnded && aFlow.mBack.mWriteEnded;
  const bool nothingLeft = aFlow.mThere.mReadEnded && aFlow.mBack.mReadEnded &&
                           aFlow.mThere.mChunks.empty() &&
                           aFlow.mBack.mChunks.empty();
  return aFlow.mFailed || written || nothingLeft;
}

}
