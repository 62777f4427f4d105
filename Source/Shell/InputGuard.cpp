#include "Shell/InputGuard.h"

#include <charconv>
#include <chrono>
#include <filesystem>
#include <optional>
#include <string>

#include <arpa/inet.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "Common/Log.h"

namespace camphorstep {

namespace {

constexpr std::chrono::milliseconds kCheckInterval(200);

/// The address of one end of a connection; nothing if the descriptor is not
/// an IPv4 connection.
using NameFunction = int (*)(int, sockaddr*, socklen_t*);

std::optional<sockaddr_in>
EndOf(int aSocket, NameFunction aFunction)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  auto* const generic = reinterpret_cast<sockaddr*>(&address); // NOLINT
  if (aFunction(aSocket, generic, &size) != 0 ||
      address.sin_family != AF_INET) {
    return std::nullopt;
  }
  return address;
}

bool
IsAcceptedAt(int aSocket, const Address& aListener)
{
  const std::optional<sockaddr_in> own = EndOf(aSocket, &::getsockname);
  in_addr ip{};
  return own && ::inet_pton(AF_INET, aListener.mIp.c_str(), &ip) == 1 &&
         own->sin_port == htons(aListener.mPort) &&
         own->sin_addr.s_addr == ip.s_addr;
}

std::uint64_t
BytesReceived(int aSocket)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int rc = ::getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &size);
  return rc == 0 ? info.tcpi_bytes_received : 0;
}

}

InputGuard::InputGuard(const Address& aListener, std::uint64_t aMaxBytes)
  : mListener(aListener)
  , mMaxBytes(aMaxBytes)
  , mThread([this] { Run(); })
{
}

InputGuard::~InputGuard()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mStop.notify_one();
  mThread.join();
}

void
InputGuard::NoteRequest(int aSocket)
{
  const std::optional<sockaddr_in> peer = EndOf(aSocket, &::getpeername);
  if (peer) {
    const std::lock_guard lock(mMutex);
    mWatched[aSocket] = Watched{ peer->sin_port, BytesReceived(aSocket) };
  }
}

void
InputGuard::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStop.wait_for(lock, kCheckInterval, [this] { return mStopping; })) {
    CheckAll();
  }
}

void
InputGuard::CheckAll()
{
  std::error_code ec;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd", ec)) {
    const std::string name = entry.path().filename().string();
    int socket = -1;
    std::from_chars(name.data(), name.data() + name.size(), socket);
    if (IsAcceptedAt(socket, mListener)) {
      Check(socket);
    }
  }
}

void
InputGuard::Check(int aSocket)
{
  const std::optional<sockaddr_in> peer = EndOf(aSocket, &::getpeername);
  if (!peer) {
    return;
  }
  Watched& watched = mWatched[aSocket];
  if (watched.mPeerPort != peer->sin_port) {
    watched = Watched{ peer->sin_port, 0 };
  }
  const std::uint64_t received = BytesReceived(aSocket);
  if (received > watched.mBytesAtRequest + mMaxBytes) {
    WriteLog(LogLevel::Warning,
             "closed a connection that sent without end",
             { { "bytes", received } });
    ::shutdown(aSocket, SHUT_RDWR);
  }
}

}
