#include "Shell/StreamSocket.h"

#include <algorithm>
#include <cerrno>
#include <exception>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cxxtools/systemerror.h>

namespace camphorstep {

namespace {

/// A connection whose other side reads too slowly is given up.
constexpr std::size_t kMaxWaitingBytes = 64 * 1024 * 1024;

/// Buffers that are empty are kept for the next bytes up to this size.
constexpr std::size_t kKeptCapacity = 8 * 1024;

/// Gives back the memory of an empty buffer that has grown large.
void
Shrink(std::string& aBuffer)
{
  if (aBuffer.empty() && aBuffer.capacity() > kKeptCapacity) {
    aBuffer = std::string();
  }
}

void
SetOption(int aSocket, int aLevel, int aOption, int aValue)
{
  // An option that the system lacks only costs speed or early detection.
  ::setsockopt(aSocket, aLevel, aOption, &aValue, sizeof(aValue));
}

/// Whether a connection that has failed was reset by the other side, or by the
/// system for its silence, rather than closed.
bool
IsReset(int aSocket)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  return ::getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
         info.tcpi_state == TCP_CLOSE;
}

/// Whether an error shows that the other side's machine is there.
bool
IsAnswer(int aError)
{
  return aError == ECONNREFUSED || aError == ECONNRESET || aError == EPIPE;
}

}

StreamSocket::StreamSocket(Handlers aHandlers, std::size_t aReadSize)
  : mHandlers(std::move(aHandlers))
  , mReadBuffer(aReadSize)
{
  cxxtools::connect(mSocket.connected, *this, &StreamSocket::OnConnected);
  cxxtools::connect(mSocket.inputReady, *this, &StreamSocket::OnInput);
  cxxtools::connect(mSocket.outputReady, *this, &StreamSocket::OnOutput);
}

void
StreamSocket::Connect(cxxtools::SelectorBase& aLoop, const Address& aAddress)
{
  try {
    mSocket.setSelector(aLoop);
    if (mSocket.beginConnect(aAddress.mIp, aAddress.mPort)) {
      OnConnected(mSocket);
    }
  } catch (const cxxtools::SystemError& ex) {
    Fail(IsAnswer(ex.getErrno()));
  } catch (const std::exception&) {
    Fail(false);
  }
}

void
StreamSocket::Accept(cxxtools::SelectorBase& aLoop,
                     const cxxtools::net::TcpServer& aListener)
{
  mSocket.accept(aListener);
  mSocket.setSelector(aLoop);
  mConnected = true;
  Prepare();
  BeginRead();
}

void
StreamSocket::LimitSilence(std::chrono::milliseconds aLimit)
{
  mSilenceLimit = aLimit;
  if (mConnected) {
    Prepare();
  }
}

void
StreamSocket::ResetOnClose()
{
  mResetOnClose = true;
  if (mConnected) {
    Prepare();
  }
}

void
StreamSocket::LimitReceiveBuffer(int aBytes)
{
  mReceiveBuffer = aBytes;
  if (mConnected) {
    Prepare();
  }
}

void
StreamSocket::ResumeReading()
{
  if (!mIsPaused) {
    return;
  }
  mIsPaused = false;
  try {
    if (mConnected) {
      BeginRead();
    }
  } catch (const std::exception&) {
    Fail(false);
  }
}

void
StreamSocket::Append(std::string_view aBytes)
{
  if (!mClosed) {
    mWaiting += aBytes;
  }
}

void
StreamSocket::Flush()
{
  if (mClosed || !mConnected) {
    return;
  }
  if (mWaiting.size() > kMaxWaitingBytes) {
    Fail(true);
    return;
  }
  if (!mSocket.writing() && mWriting.empty()) {
    SendDirectly();
  }
  if (!mClosed) {
    StartWriting();
  }
}

void
StreamSocket::CloseWhenSent()
{
  mCloseWhenSent = true;
  Flush();
  if (!mConnected || (mWaiting.empty() && mWriting.empty())) {
    Close();
  }
}

void
StreamSocket::Close()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  mConnected = false;
  try {
    mSocket.close();
  } catch (const std::exception&) {
    // The socket is given up either way.
  }
}

void
StreamSocket::Abort()
{
  if (!mClosed) {
    ResetOnClose();
    Close();
  }
  mWaiting = std::string();
  mWriting = std::string();
  mWritten = 0;
}

void
StreamSocket::OnConnected(cxxtools::net::TcpSocket& aSocket)
{
  if (mClosed || mConnected) {
    return;
  }
  try {
    aSocket.endConnect();
    mConnected = true;
    Prepare();
    BeginRead();
  } catch (const std::exception&) {
    // Silence ends in the owner's time limit, so this is a refusal.
    Fail(true);
    return;
  }
  mHandlers.mOnConnected();
  Flush();
}

void
StreamSocket::OnInput(cxxtools::IODevice& aDevice)
{
  if (mClosed) {
    return;
  }
  try {
    const std::size_t n = aDevice.endRead();
    if (n == 0) {
      Fail(true);
      return;
    }
    mHandlers.mOnData(std::string_view(mReadBuffer.data(), n));
    if (!mClosed) {
      BeginRead();
    }
  } catch (const cxxtools::SystemError& ex) {
    Fail(IsAnswer(ex.getErrno()));
  } catch (const std::exception&) {
    Fail(false);
  }
}

void
StreamSocket::OnOutput(cxxtools::IODevice& aDevice)
{
  if (mClosed) {
    return;
  }
  try {
    mWritten += aDevice.endWrite();
    if (mWritten >= mWriting.size()) {
      mWriting.clear();
      mWritten = 0;
      Shrink(mWriting);
    }
  } catch (const std::exception&) {
    Fail(false);
    return;
  }
  StartWriting();
  if (mCloseWhenSent && mWriting.empty() && mWaiting.empty()) {
    Close();
  }
  if (!mClosed && mHandlers.mOnSent) {
    mHandlers.mOnSent();
  }
}

void
StreamSocket::Prepare()
{
  const int fd = mSocket.getFd();
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  if (mSilenceLimit.count() > 0) {
    const int limit = static_cast<int>(mSilenceLimit.count());
    const int seconds = std::max(1, limit / 2000);
    SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, limit);
    SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, 2);
  }
  if (mReceiveBuffer > 0) {
    SetOption(fd, SOL_SOCKET, SO_RCVBUF, mReceiveBuffer);
  }
  if (mResetOnClose) {
    const linger none{ 1, 0 };
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
  }
}

void
StreamSocket::BeginRead()
{
  if (!mIsPaused && !mSocket.reading()) {
    mSocket.beginRead(mReadBuffer.data(), mReadBuffer.size());
  }
}

/// Gives the socket what it takes at once, which saves a turn of the loop.
void
StreamSocket::SendDirectly()
{
  if (mWaiting.empty()) {
    return;
  }
  const ssize_t n = ::send(mSocket.getFd(),
                           mWaiting.data(),
                           mWaiting.size(),
                           MSG_DONTWAIT | MSG_NOSIGNAL);
  if (n >= 0) {
    mWaiting.erase(0, static_cast<std::size_t>(n));
    Shrink(mWaiting);
  } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
    Fail(IsAnswer(errno));
  }
}

void
StreamSocket::StartWriting()
{
  if (mClosed || mSocket.writing()) {
    return;
  }
  if (mWriting.empty()) {
    std::swap(mWriting, mWaiting);
  }
  if (mWriting.empty()) {
    return;
  }
  try {
    mSocket.beginWrite(mWriting.data() + mWritten, mWriting.size() - mWritten);
  } catch (const std::exception&) {
    Fail(false);
  }
}

void
StreamSocket::Fail(bool aAnswered)
{
  if (mClosed) {
    return;
  }
  mWasReset = IsReset(mSocket.getFd());
  Close();
  mHandlers.mOnClosed(aAnswered);
}

}
