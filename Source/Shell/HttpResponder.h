#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <cxxtools/connectable.h>
#include <cxxtools/net/tcpserver.h>

#include "Model/Topology.h"
#include "Shell/StreamSocket.h"

namespace camphorstep {

/// An answer to a GET.
struct HttpPage
{
  unsigned mStatus = 0;
  std::string mType;
  std::string mBody;
};

/// Answers GET requests of monitoring systems on an event loop. Anything
/// that is not one closes the connection.
class HttpResponder : public cxxtools::Connectable
{
public:
  static constexpr std::size_t kMaxClients = 64;

  using Handler = std::function<HttpPage(const std::string& aPath)>;

  HttpResponder(cxxtools::SelectorBase& aLoop,
                const Address& aAddress,
                Handler aHandler,
                std::size_t aMaxClients = kMaxClients);

private:
  /// A monitoring system's connection.
  struct Client
  {
    std::unique_ptr<StreamSocket> mSocket;
    std::string mInput;
    /// Increases with each connection and each request of any client.
    std::uint64_t mLastUse = 0;
  };

  void OnPending(cxxtools::net::TcpServer& aListener);
  void HandleData(std::uint64_t aClient, std::string_view aBytes);
  void Remove(std::uint64_t aClient);
  /// Closes the connection that has asked nothing for the longest time.
  void RemoveLeastRecent();

  cxxtools::SelectorBase& mLoop;
  Handler mHandler;
  cxxtools::net::TcpServer mListener;
  std::size_t mMaxClients;
  std::uint64_t mLastClient = 0;
  std::uint64_t mLastUse = 0;
  std::unordered_map<std::uint64_t, Client> mClients;
  std::vector<std::unique_ptr<StreamSocket>> mClosed;
};

}
