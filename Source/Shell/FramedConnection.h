#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

#include "Shell/StreamSocket.h"
#include "Wire/Frame.h"

namespace camphorstep {

/// Exchanges frames over a socket of an event loop without blocking. The
/// handlers are called from the loop; an object must not be deleted from
/// within one of its handlers.
class FramedConnection
{
public:
  struct Handlers
  {
    std::function<void()> mOnConnected;
    std::function<void(const std::string&)> mOnFrame;
    /// Called when a part of a frame has arrived; may be empty.
    std::function<void()> mOnPartialFrame = {};
    /// Called once, when the connection has ended for any reason but Close.
    std::function<void()> mOnClosed;
  };

  static constexpr std::size_t kLargeReads = 64 * 1024;
  static constexpr std::size_t kSmallReads = 4 * 1024;

  /// Reads at most some bytes at a time.
  explicit FramedConnection(Handlers aHandlers,
                            std::size_t aReadSize = kLargeReads);

  FramedConnection(const FramedConnection&) = delete;
  FramedConnection& operator=(const FramedConnection&) = delete;

  /// Starts to connect.
  void Connect(cxxtools::SelectorBase& aLoop, const Address& aAddress);

  /// Takes the next connection that waits at a listener.
  void Accept(cxxtools::SelectorBase& aLoop,
              const cxxtools::net::TcpServer& aListener);

  /// As StreamSocket::LimitSilence.
  void LimitSilence(std::chrono::milliseconds aLimit);

  /// Sends one frame, now or when the socket takes it.
  void Send(std::string_view aPayload);

  /// Ends the connection; no handler is called any more.
  void Close();

  bool IsClosed() const { return mSocket.IsClosed(); }

  /// Ends the connection and drops what the other side does not have yet.
  void Abort();

  /// Limits the bytes that the system receives ahead of the process.
  void LimitReceiveBuffer(int aBytes) { mSocket.LimitReceiveBuffer(aBytes); }

  /// What frames that are not complete take of the memory.
  std::size_t HeldBytes() const { return mInput.Capacity(); }

  /// The number of bytes that wait to be sent.
  std::size_t UnsentBytes() const { return mSocket.UnsentBytes(); }

  /// The number of bytes of an incomplete frame that have arrived.
  std::size_t PendingBytes() const { return mInput.Pending(); }

private:
  void HandleData(std::string_view aBytes);

  Handlers mHandlers;
  StreamSocket mSocket;
  FrameBuffer mInput;
};

}
