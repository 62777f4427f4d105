#include "Standin/RelaySockets.h"

#include <cerrno>
#include <stdexcept>
#include <system_error>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace camphorstep {

namespace {

constexpr int kListenBacklog = 256;

[[noreturn]] void
Throw(const char* aWhat)
{
  throw std::system_error(errno, std::generic_category(), aWhat);
}

void
SetOption(int aSocket, int aLevel, int aOption)
{
  const int on = 1;
  ::setsockopt(aSocket, aLevel, aOption, &on, sizeof(on));
}

/// The system's calls take all kinds of addresses by one type.
const sockaddr*
Generic(const sockaddr_in& aAddress)
{
  return reinterpret_cast<const sockaddr*>(&aAddress); // NOLINT
}

FileDescriptor
OpenSocket(int aType)
{
  FileDescriptor socket(::socket(AF_INET, aType | SOCK_NONBLOCK, 0));
  if (!socket.IsOpen()) {
    Throw("socket");
  }
  return socket;
}

FileDescriptor
Bind(int aType, const Address& aAddress)
{
  FileDescriptor socket = OpenSocket(aType);
  SetOption(socket.Get(), SOL_SOCKET, SO_REUSEADDR);
  const sockaddr_in address = ToSocketAddress(aAddress);
  if (::bind(socket.Get(), Generic(address), sizeof(address)) != 0) {
    Throw("bind");
  }
  return socket;
}

}

sockaddr_in
ToSocketAddress(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.mPort);
  if (::inet_pton(AF_INET, aAddress.mIp.c_str(), &address.sin_addr) != 1) {
    throw std::runtime_error("'" + aAddress.mIp + "' is not an IP address");
  }
  return address;
}

FileDescriptor
ListenTcp(const Address& aAddress)
{
  FileDescriptor socket = Bind(SOCK_STREAM, aAddress);
  if (::listen(socket.Get(), kListenBacklog) != 0) {
    Throw("listen");
  }
  return socket;
}

FileDescriptor
BindUdp(const Address& aAddress)
{
  return Bind(SOCK_DGRAM, aAddress);
}

FileDescriptor
AcceptTcp(int aListener)
{
  FileDescriptor socket(::accept4(aListener, nullptr, nullptr, SOCK_NONBLOCK));
  if (socket.IsOpen()) {
    SetOption(socket.Get(), IPPROTO_TCP, TCP_NODELAY);
  }
  return socket;
}

FileDescriptor
StartConnect(const Address& aTarget)
{
  FileDescriptor socket = OpenSocket(SOCK_STREAM);
  SetOption(socket.Get(), IPPROTO_TCP, TCP_NODELAY);
  const sockaddr_in address = ToSocketAddress(aTarget);
  const int rc = ::connect(socket.Get(), Generic(address), sizeof(address));
  return rc == 0 || errno == EINPROGRESS ? std::move(socket) : FileDescriptor();
}

FileDescriptor
ConnectUdp(const Address& aTarget)
{
  FileDescriptor socket = OpenSocket(SOCK_DGRAM);
  const sockaddr_in address = ToSocketAddress(aTarget);
  if (::connect(socket.Get(), Generic(address), sizeof(address)) != 0) {
    Throw("connect");
  }
  return socket;
}

void
ResetOnClose(int aSocket)
{
  const linger none{ 1, 0 };
  ::setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
}

}
