#include "Shell/HttpResponder.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "Common/Log.h"

namespace camphorstep {

namespace {

constexpr std::size_t kReadSize = 2048;
constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
/// A client that asks on while it has this much to read is given up.
constexpr std::size_t kMaxUnreadBytes = 64 * 1024;
/// The bytes that the system receives ahead on a connection.
constexpr int kReceiveBuffer = 16 * 1024;
constexpr int kBacklog = 64;
constexpr unsigned kHttpOk = 200;
constexpr std::string_view kHeaderEnd = "\r\n\r\n";
/// A client that has gone silent is forgotten after this time.
constexpr std::chrono::milliseconds kSilenceLimit{ 10'000 };

std::string
Format(const HttpPage& aPage)
{
  const std::string reason = aPage.mStatus == kHttpOk ? "OK" : "Unavailable";
  return "HTTP/1.1 " + std::to_string(aPage.mStatus) + " " + reason +
         "\r\nContent-Type: " + aPage.mType +
         "\r\nContent-Length: " + std::to_string(aPage.mBody.size()) +
         "\r\n\r\n" + aPage.mBody;
}

/// Reads the path of a GET request line; empty if it is none.
std::string
PathOf(std::string_view aRequest)
{
  constexpr std::string_view get = "GET ";
  if (!aRequest.starts_with(get)) {
    return {};
  }
  const std::size_t end = aRequest.find_first_of(" ?\r", get.size());
  return std::string(aRequest.substr(get.size(), end - get.size()));
}

}

HttpResponder::HttpResponder(cxxtools::SelectorBase& aLoop,
                             const Address& aAddress,
                             Handler aHandler,
                             std::size_t aMaxClients)
  : mLoop(aLoop)
  , mHandler(std::move(aHandler))
  , mListener(aAddress.mIp, aAddress.mPort, kBacklog)
  , mMaxClients(aMaxClients)
{
  cxxtools::connect(
    mListener.connectionPending, *this, &HttpResponder::OnPending);
  mListener.setSelector(mLoop);
}

void
HttpResponder::OnPending(cxxtools::net::TcpServer& aListener)
{
  mClosed.clear();
  const std::uint64_t id = ++mLastClient;
  auto socket = std::make_unique<StreamSocket>(
    StreamSocket::Handlers{
      [] {},
      [this, id](std::string_view aBytes) { HandleData(id, aBytes); },
      [this, id](bool) { Remove(id); } },
    kReadSize);
  try {
    socket->Accept(mLoop, aListener);
    socket->LimitSilence(kSilenceLimit);
    socket->LimitReceiveBuffer(kReceiveBuffer);
  } catch (const std::exception& ex) {
    WriteLog(LogLevel::Warning,
             "could not accept a monitoring connection",
             { { "error", ex.what() } });
    return;
  }
  if (mClients.size() >= mMaxClients) {
    RemoveLeastRecent();
  }
  mClients.emplace(id, Client{ std::move(socket), {}, ++mLastUse });
}

void
HttpResponder::HandleData(std::uint64_t aClient, std::string_view aBytes)
{
  Client& client = mClients.at(aClient);
  client.mInput += aBytes;
  for (std::size_t end = client.mInput.find(kHeaderEnd);
       end != std::string::npos;
       end = client.mInput.find(kHeaderEnd)) {
    const std::string path =
      PathOf(std::string_view(client.mInput).substr(0, end));
    if (path.empty()) {
      Remove(aClient);
      return;
    }
    if (client.mSocket->UnsentBytes() > kMaxUnreadBytes) {
      Remove(aClient);
      return;
    }
    client.mLastUse = ++mLastUse;
    client.mInput.erase(0, end + kHeaderEnd.size());
    client.mSocket->Append(Format(mHandler(path)));
  }
  if (client.mInput.size() > kMaxHeaderBytes) {
    Remove(aClient);
    return;
  }
  client.mSocket->Flush();
}

void
HttpResponder::RemoveLeastRecent()
{
  const auto it =
    std::min_element(mClients.begin(),
                     mClients.end(),
                     [](const auto& aFirst, const auto& aSecond) {
                       return aFirst.second.mLastUse < aSecond.second.mLastUse;
                     });
  if (it != mClients.end()) {
    Remove(it->first);
  }
}

void
HttpResponder::Remove(std::uint64_t aClient)
{
  const auto it = mClients.find(aClient);
  if (it == mClients.end()) {
    return;
  }
  it->second.mSocket->Abort();
  mClosed.push_back(std::move(it->second.mSocket));
  mClients.erase(it);
}

}
