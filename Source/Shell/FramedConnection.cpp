#include "Shell/FramedConnection.h"

#include <optional>
#include <utility>

namespace camphorstep {

FramedConnection::FramedConnection(Handlers aHandlers, std::size_t aReadSize)
  : mHandlers(std::move(aHandlers))
  , mSocket({ [this] { mHandlers.mOnConnected(); },
              [this](std::string_view aBytes) { HandleData(aBytes); },
              [this](bool) { mHandlers.mOnClosed(); } },
            aReadSize)
{
}

void
FramedConnection::Connect(cxxtools::SelectorBase& aLoop,
                          const Address& aAddress)
{
  mSocket.Connect(aLoop, aAddress);
}

void
FramedConnection::Accept(cxxtools::SelectorBase& aLoop,
                         const cxxtools::net::TcpServer& aListener)
{
  mSocket.Accept(aLoop, aListener);
}

void
FramedConnection::LimitSilence(std::chrono::milliseconds aLimit)
{
  mSocket.LimitSilence(aLimit);
}

void
FramedConnection::Send(std::string_view aPayload)
{
  mSocket.Append(MakeFrame(aPayload));
  mSocket.Flush();
}

void
FramedConnection::Close()
{
  mSocket.Close();
}

void
FramedConnection::Abort()
{
  mSocket.Abort();
  mInput = FrameBuffer();
}

void
FramedConnection::HandleData(std::string_view aBytes)
{
  mInput.Append(aBytes);
  while (const std::optional<std::string> payload = mInput.Next()) {
    mHandlers.mOnFrame(*payload);
    if (IsClosed()) {
      return;
    }
  }
  if (mInput.Pending() > 0 && mHandlers.mOnPartialFrame) {
    mHandlers.mOnPartialFrame();
  }
}

}
