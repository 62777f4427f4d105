#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "Model/Topology.h"

namespace camphorstep {

/// Closes connections of an HTTP listener that send without end before a
/// request is complete. The library's server keeps a request's first line and
/// each header value in memory while they come in, without a limit, and tells
/// nobody before the header is complete. The guard therefore looks at what the
/// operating system has received on each connection since its latest request.
class InputGuard
{
public:
  /// Watches the connections that were accepted at an address, each of which
  /// may send so many bytes from one request to the next.
  InputGuard(const Address& aListener, std::uint64_t aMaxBytes);
  ~InputGuard();

  InputGuard(const InputGuard&) = delete;
  InputGuard& operator=(const InputGuard&) = delete;

  /// A request's header is complete: its connection may send as much again.
  void NoteRequest(int aSocket);

private:
  /// A connection as the guard last saw it. The peer's port tells it from a
  /// later one with the same descriptor.
  struct Watched
  {
    std::uint16_t mPeerPort = 0;
    std::uint64_t mBytesAtRequest = 0;
  };

  void Run();
  void CheckAll();
  void Check(int aSocket);

  const Address mListener;
  const std::uint64_t mMaxBytes;
  std::mutex mMutex;
  std::condition_variable mStop;
  bool mStopping = false;
  std::unordered_map<int, Watched> mWatched;
  std::thread mThread;
};

}
