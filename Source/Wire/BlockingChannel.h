#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <cxxtools/net/tcpsocket.h>

#include "Common/Time.h"
#include "Model/Topology.h"
#include "Wire/Frame.h"

namespace camphorstep {

/// Exchanges frames over a socket with blocking calls, for programs that
/// give each connection a thread. All calls throw cxxtools::IOError when the
/// connection fails.
class BlockingChannel
{
public:
  /// Connects to an address.
  explicit BlockingChannel(const Address& aAddress);

  /// Accepts the next connection of a listener.
  explicit BlockingChannel(const cxxtools::net::TcpServer& aListener);

  /// Sends one frame.
  void Send(std::string_view aPayload);

  /// Waits for one frame; nothing if the other side has closed.
  std::optional<std::string> Receive();

  /// Sets how long Send and Receive wait; they throw cxxtools::IOTimeout.
  void SetTimeout(Duration aTimeout);

  /// Ends the connection, also from another thread, so that a waiting
  /// Receive returns.
  void Shutdown();

private:
  cxxtools::net::TcpSocket mSocket;
  FrameBuffer mBuffer;
};

}
