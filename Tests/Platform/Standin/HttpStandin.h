#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include <cxxtools/connectable.h>
#include <cxxtools/net/tcpserver.h>

#include "Shell/StreamSocket.h"

namespace camphorstep::standin {

/// A request to a stand-in of the platform.
struct HttpRequest
{
  /// The connection, for the answer.
  std::uint64_t mClient = 0;
  std::string mPath;
  std::map<std::string, std::string> mParameters;
  /// By name in lower case.
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
};

/// Serves HTTP on an event loop; answers may be given later.
class HttpStandin : public cxxtools::Connectable
{
public:
  using Handler = std::function<void(const HttpRequest&)>;

  HttpStandin(cxxtools::SelectorBase& aLoop,
              const Address& aAddress,
              Handler aHandler);

  /// Answers with a status, a body and further headers, each of which ends with
  /// a line break.
  void Answer(std::uint64_t aClient,
              unsigned aStatus,
              const std::string& aBody,
              const std::string& aHeaders = "");

  /// Holds up what arrives on connections from now on, as a network does that
  /// is cut, or lets what arrives on further connections pass again.
  void SetHoldingUp(bool aIsHoldingUp) { mIsHoldingUp = aIsHoldingUp; }

  /// How many connections have requests that are held up.
  std::size_t CountHeldUp() const;

  /// Delivers what was held up, also on connections that were closed since. On
  /// a connection that was reset it is lost.
  void DeliverHeldUp();

private:
  struct Client
  {
    std::unique_ptr<StreamSocket> mSocket;
    std::string mInput;
    bool mIsHeldUp = false;
  };

  void OnPending(cxxtools::net::TcpServer& aListener);
  void HandleData(std::uint64_t aClient, std::string_view aBytes);
  /// Handles the whole requests that a connection has brought.
  void HandleRequests(std::uint64_t aClient);

  cxxtools::SelectorBase& mLoop;
  Handler mHandler;
  cxxtools::net::TcpServer mListener;
  std::uint64_t mLastClient = 0;
  bool mIsHoldingUp = false;
  /// Connections are kept until the stand-in ends.
  std::unordered_map<std::uint64_t, Client> mClients;
};

}
