#include "Shell/ServerLinks.h"

#include <utility>

#include "Common/Log.h"
#include "Wire/Codec.h"

namespace camphorstep {

ServerLinks::ServerLinks(cxxtools::SelectorBase& aLoop, EventSink& aSink)
  : mLoop(aLoop)
  , mSink(aSink)
{
}

void
ServerLinks::Open(ConnectionId aConnection, const Address& aAddress)
{
  FramedConnection::Handlers handlers;
  handlers.mOnConnected = [this, aConnection] {
    mSink.Post(ServerConnected{ aConnection });
  };
  handlers.mOnFrame = [this, aConnection](const std::string& aPayload) {
    HandleFrame(aConnection, aPayload);
  };
  handlers.mOnClosed = [this, aConnection] {
    Remove(aConnection);
    mSink.Post(ServerDisconnected{ aConnection });
  };
  auto connection = std::make_unique<FramedConnection>(std::move(handlers));
  FramedConnection& opened = *connection;
  mConnections.emplace(aConnection, std::move(connection));
  opened.Connect(mLoop, aAddress);
}

void
ServerLinks::Close(ConnectionId aConnection)
{
  const auto it = mConnections.find(aConnection);
  if (it == mConnections.end()) {
    return;
  }
  it->second->Close();
  Remove(aConnection);
}

void
ServerLinks::Send(ConnectionId aConnection, const ServerRequest& aRequest)
{
  const auto it = mConnections.find(aConnection);
  if (it != mConnections.end()) {
    it->second->Send(Encode(aRequest));
  }
}

void
ServerLinks::CollectClosed()
{
  mClosed.clear();
}

void
ServerLinks::HandleFrame(ConnectionId aConnection, const std::string& aPayload)
{
  try {
    mSink.Deliver(ServerReplied{ aConnection, Decode<ServerReply>(aPayload) });
  } catch (const DecodeError& ex) {
    WriteLog(LogLevel::Warning,
             "backend server sent a malformed message; closing the connection",
             { { "error", ex.what() } });
    Close(aConnection);
    mSink.Post(ServerDisconnected{ aConnection });
  }
}

void
ServerLinks::Remove(ConnectionId aConnection)
{
  const auto it = mConnections.find(aConnection);
  if (it != mConnections.end()) {
    mClosed.push_back(std::move(it->second));
    mConnections.erase(it);
  }
}

}
