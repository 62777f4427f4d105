#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <cxxtools/connectable.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/selector.h>

#include "Model/Topology.h"

namespace camphorstep {

/// Exchanges bytes over a socket of an event loop without blocking. The
/// handlers are called from the loop; an object must not be deleted from
/// within one of its handlers.
class StreamSocket : public cxxtools::Connectable
{
public:
  struct Handlers
  {
    std::function<void()> mOnConnected;
    /// Gets bytes in the order in which they arrived.
    std::function<void(std::string_view)> mOnData;
    /// Called once, when the connection has ended for any reason but Close.
    /// Tells whether the other side's machine answered: it refused, ended or
    /// reset the connection rather than staying silent.
    std::function<void(bool)> mOnClosed;
    /// Called when the socket has taken bytes that had to wait; may be empty.
    std::function<void()> mOnSent = {};
  };

  StreamSocket(Handlers aHandlers, std::size_t aReadSize);

  StreamSocket(const StreamSocket&) = delete;
  StreamSocket& operator=(const StreamSocket&) = delete;

  /// Starts to connect.
  void Connect(cxxtools::SelectorBase& aLoop, const Address& aAddress);

  /// Takes the next connection that waits at a listener.
  void Accept(cxxtools::SelectorBase& aLoop,
              const cxxtools::net::TcpServer& aListener);

  /// Has the system give the connection up when sent bytes stay unconfirmed,
  /// or keep-alive probes unanswered, for this long.
  void LimitSilence(std::chrono::milliseconds aLimit);

  /// Has the connection be reset, not closed, however it ends, also with its
  /// process. Bytes that the other side does not have yet are dropped then.
  void ResetOnClose();

  /// Limits the bytes that the system receives ahead of the process.
  void LimitReceiveBuffer(int aBytes);

  /// Stops to read, so that the other side has to wait, or goes on.
  void PauseReading() { mIsPaused = true; }
  void ResumeReading();

  /// Adds bytes that the next Flush sends.
  void Append(std::string_view aBytes);

  /// Sends what has been added, now or when the socket takes it.
  void Flush();

  /// Closes the connection once everything has been sent.
  void CloseWhenSent();

  /// Ends the connection; no handler is called any more.
  void Close();

  /// Ends the connection and drops what the other side does not have yet.
  void Abort();

  /// The number of bytes that have not been sent.
  std::size_t UnsentBytes() const
  {
    return mWaiting.size() + mWriting.size() - mWritten;
  }

  /// What the bytes to send take of the memory.
  std::size_t HeldBytes() const
  {
    return mWaiting.capacity() + mWriting.capacity();
  }

  bool IsClosed() const { return mClosed; }
  bool IsConnected() const { return mConnected; }
  /// Whether the other side has reset the connection.
  bool WasReset() const { return mWasReset; }

private:
  void OnConnected(cxxtools::net::TcpSocket& aSocket);
  void OnInput(cxxtools::IODevice& aDevice);
  void OnOutput(cxxtools::IODevice& aDevice);
  void Prepare();
  void BeginRead();
  void SendDirectly();
  void StartWriting();
  void Fail(bool aAnswered);

  Handlers mHandlers;
  cxxtools::net::TcpSocket mSocket;
  std::vector<char> mReadBuffer;
  /// Bytes that the socket is writing; they must not move meanwhile.
  std::string mWriting;
  std::size_t mWritten = 0;
  std::string mWaiting;
  std::chrono::milliseconds mSilenceLimit{ 0 };
  /// The system's default if it is 0.
  int mReceiveBuffer = 0;
  bool mIsPaused = false;
  bool mConnected = false;
  bool mClosed = false;
  bool mCloseWhenSent = false;
  bool mResetOnClose = false;
  bool mWasReset = false;
};

}
