#include "Wire/BlockingChannel.h"

#include <array>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace camphorstep {

namespace {

constexpr std::size_t kReadSize = 16 * 1024;

void
DisableNagle(int aSocket)
{
  const int on = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}

BlockingChannel::BlockingChannel(const Address& aAddress)
  : mSocket(aAddress.mIp, aAddress.mPort)
{
  DisableNagle(mSocket.getFd());
}

BlockingChannel::BlockingChannel(const cxxtools::net::TcpServer& aListener)
  : mSocket(aListener)
{
  DisableNagle(mSocket.getFd());
}

void
BlockingChannel::Send(std::string_view aPayload)
{
  const std::string frame = MakeFrame(aPayload);
  std::size_t n = 0;
  while (n < frame.size()) {
    n += mSocket.write(frame.data() + n, frame.size() - n);
  }
}

std::optional<std::string>
BlockingChannel::Receive()
{
  std::array<char, kReadSize> buf;
  for (;;) {
    if (std::optional<std::string> payload = mBuffer.Next()) {
      return payload;
    }
    const std::size_t n = mSocket.read(buf.data(), buf.size());
    if (n == 0) {
      return std::nullopt;
    }
    mBuffer.Append(std::string_view(buf.data(), n));
  }
}

void
BlockingChannel::SetTimeout(Duration aTimeout)
{
  mSocket.setTimeout(
    cxxtools::Milliseconds(static_cast<double>(aTimeout.count()) / 1000.0));
}

void
BlockingChannel::Shutdown()
{
  ::shutdown(mSocket.getFd(), SHUT_RDWR);
}

}
