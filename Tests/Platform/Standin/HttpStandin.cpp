#include "HttpStandin.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace camphorstep::standin {

namespace {

constexpr std::size_t kReadSize = 8192;
constexpr int kBacklog = 64;
constexpr std::string_view kHeaderEnd = "\r\n\r\n";
constexpr std::string_view kLengthHeader = "Content-Length: ";

std::size_t
BodyLength(std::string_view aHeader)
{
  const std::size_t at = aHeader.find(kLengthHeader);
  return at == std::string_view::npos
           ? 0
           : std::stoul(std::string(aHeader.substr(at + kLengthHeader.size())));
}

std::map<std::string, std::string>
ReadParameters(std::string_view aText)
{
  std::map<std::string, std::string> parameters;
  while (!aText.empty()) {
    const std::size_t end = aText.find('&');
    const std::string_view item = aText.substr(0, end);
    const std::size_t equals = item.find('=');
    if (equals != std::string_view::npos) {
      parameters[std::string(item.substr(0, equals))] = item.substr(equals + 1);
    }
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
  }
  return parameters;
}

std::map<std::string, std::string>
ReadHeaders(std::string_view aHeader)
{
  std::map<std::string, std::string> headers;
  for (std::size_t at = aHeader.find("\r\n"); at != std::string_view::npos;
       at = aHeader.find("\r\n", at + 1)) {
    const std::string_view line =
      aHeader.substr(at + 2, aHeader.find("\r\n", at + 2) - at - 2);
    const std::size_t colon = line.find(": ");
    if (colon == std::string_view::npos) {
      continue;
    }
    std::string name(line.substr(0, colon));
    std::transform(
      name.begin(), name.end(), name.begin(), [](unsigned char aChar) {
        return static_cast<char>(std::tolower(aChar));
      });
    headers[name] = line.substr(colon + 2);
  }
  return headers;
}

/// Reads the request line and the headers.
HttpRequest
ReadRequest(std::string_view aHeader)
{
  HttpRequest request;
  const std::size_t from = aHeader.find(' ') + 1;
  const std::string_view target =
    aHeader.substr(from, aHeader.find(' ', from) - from);
  const std::size_t mark = target.find('?');
  request.mPath = target.substr(0, mark);
  if (mark != std::string_view::npos) {
    request.mParameters = ReadParameters(target.substr(mark + 1));
  }
  request.mHeaders = ReadHeaders(aHeader);
  return request;
}

}

HttpStandin::HttpStandin(cxxtools::SelectorBase& aLoop,
                         const Address& aAddress,
                         Handler aHandler)
  : mLoop(aLoop)
  , mHandler(std::move(aHandler))
  , mListener(aAddress.mIp, aAddress.mPort, kBacklog)
{
  cxxtools::connect(
    mListener.connectionPending, *this, &HttpStandin::OnPending);
  mListener.setSelector(mLoop);
}

void
HttpStandin::Answer(std::uint64_t aClient,
                    unsigned aStatus,
                    const std::string& aBody,
                    const std::string& aHeaders)
{
  const auto it = mClients.find(aClient);
  if (it == mClients.end() || it->second.mSocket->IsClosed()) {
    return;
  }
  it->second.mSocket->Append(
    "HTTP/1.1 " + std::to_string(aStatus) +
    " X\r\nContent-Type: application/json\r\nContent-Length: " +
    std::to_string(aBody.size()) + "\r\n" + aHeaders + "\r\n" + aBody);
  it->second.mSocket->Flush();
}

void
HttpStandin::OnPending(cxxtools::net::TcpServer& aListener)
{
  const std::uint64_t id = ++mLastClient;
  Client& client = mClients[id];
  client.mSocket = std::make_unique<StreamSocket>(
    StreamSocket::Handlers{
      [] {},
      [this, id](std::string_view aBytes) { HandleData(id, aBytes); },
      [](bool) {} },
    kReadSize);
  client.mSocket->Accept(mLoop, aListener);
}

void
HttpStandin::HandleData(std::uint64_t aClient, std::string_view aBytes)
{
  Client& client = mClients.at(aClient);
  client.mInput += aBytes;
  client.mIsHeldUp = client.mIsHeldUp || mIsHoldingUp;
  if (!client.mIsHeldUp) {
    HandleRequests(aClient);
  }
}

std::size_t
HttpStandin::CountHeldUp() const
{
  return static_cast<std::size_t>(
    std::count_if(mClients.begin(), mClients.end(), [](const auto& aClient) {
      return aClient.second.mIsHeldUp;
    }));
}

void
HttpStandin::DeliverHeldUp()
{
  for (auto& [id, client] : mClients) {
    if (std::exchange(client.mIsHeldUp, false) && !client.mSocket->WasReset()) {
      HandleRequests(id);
    }
  }
}

void
HttpStandin::HandleRequests(std::uint64_t aClient)
{
  std::string& input = mClients.at(aClient).mInput;
  for (;;) {
    const std::size_t end = input.find(kHeaderEnd);
    if (end == std::string::npos) {
      return;
    }
    const std::size_t length =
      BodyLength(std::string_view(input).substr(0, end));
    const std::size_t whole = end + kHeaderEnd.size() + length;
    if (input.size() < whole) {
      return;
    }
    HttpRequest request = ReadRequest(std::string_view(input).substr(0, end));
    request.mClient = aClient;
    request.mBody = input.substr(end + kHeaderEnd.size(), length);
    input.erase(0, whole);
    mHandler(request);
  }
}

}
