#include <catch2/catch.hpp>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <cxxtools/eventloop.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpstream.h>
#include <cxxtools/timer.h>

#include "Gateway/PeerMessage.h"
#include "HttpCall.h"
#include "Shell/GatewayRuntime.h"
#include "Shell/StreamSocket.h"
#include "Standin/SiteStandin.h"
#include "Wire/Codec.h"
#include "Wire/Frame.h"
#include "platform/Adapter.h"

using namespace camphorstep;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t kSitePort = 18'980;
constexpr std::uint16_t kGatewayPort = 18'990;
constexpr std::uint16_t kSlowPort = 18'995;
const Address kSlowAddress{ "127.0.0.1", kSlowPort };
const std::string kSettingsPath = "camphorstep-slow-transfer-test.ini";
/// The pieces in which a slow link carries a transfer, and their interval.
constexpr std::size_t kPieces = 8;
constexpr double kPieceIntervalMs = 80.0;
/// A store's version that is newer than any that the stand-in has.
constexpr std::uint64_t kNewerVersion = 1'000'000;
constexpr std::size_t kRoutes = 4'200;

/// Answers each request, of which a function finds the end and the answer, in
/// pieces.
class SlowServer : public cxxtools::Connectable
{
public:
  /// Takes a request out of the bytes received and returns the answer; empty
  /// if the request is not complete.
  using Answering = std::function<std::string(std::string& aInput)>;

  SlowServer(cxxtools::SelectorBase& aLoop, Answering aAnswering)
    : mLoop(aLoop)
    , mAnswering(std::move(aAnswering))
    , mListener(kSlowAddress.mIp, kSlowAddress.mPort)
  {
    cxxtools::connect(
      mListener.connectionPending, *this, &SlowServer::OnPending);
    mListener.setSelector(mLoop);
    mTimer.setSelector(mLoop);
    cxxtools::connect(mTimer.timeout, *this, &SlowServer::OnTimer);
    mTimer.start(cxxtools::Milliseconds(kPieceIntervalMs));
  }

private:
  struct Client
  {
    std::unique_ptr<StreamSocket> mSocket;
    std::string mInput;
    std::string mOutput;
    std::size_t mPieceSize = 0;
  };

  void OnPending(cxxtools::net::TcpServer& aListener)
  {
    mClients.push_back(std::make_unique<Client>());
    Client& client = *mClients.back();
    client.mSocket = std::make_unique<StreamSocket>(
      StreamSocket::Handlers{ [] {},
                              [this, &client](std::string_view aBytes) {
                                client.mInput += aBytes;
                                client.mOutput += mAnswering(client.mInput);
                                client.mPieceSize =
                                  client.mOutput.size() / kPieces + 1;
                              },
                              [](bool) {} },
      64 * 1024);
    client.mSocket->Accept(mLoop, aListener);
  }

  void OnTimer()
  {
    for (const std::unique_ptr<Client>& client : mClients) {
      if (client->mOutput.empty() || client->mSocket->IsClosed()) {
        continue;
      }
      client->mSocket->Append(client->mOutput.substr(0, client->mPieceSize));
      client->mSocket->Flush();
      client->mOutput.erase(0, client->mPieceSize);
    }
  }

  cxxtools::SelectorBase& mLoop;
  Answering mAnswering;
  cxxtools::net::TcpServer mListener;
  cxxtools::Timer mTimer;
  std::vector<std::unique_ptr<Client>> mClients;
};

/// A report of routes for many databases and one named "added".
gateway::PeerReport
LargeReport(const gateway::PeerQuery& aQuery)
{
  gateway::RoutingVersion routing;
  routing.mVersion = 9;
  for (std::size_t n = 0; n < kRoutes; ++n) {
    routing.mRoutes.push_back({ "database" + std::to_string(n), "records" });
    routing.mRoutes.back().mStatementTimeout = 4s;
  }
  routing.mRoutes.back().mDatabase = "added";
  gateway::TableReport table;
  table.mTable = gateway::Table::Operator;
  table.mVersion = kNewerVersion;
  if (aQuery.mVersions.at(0) < kNewerVersion) {
    table.mContent.emplace().mRouting = routing;
  }
  gateway::PeerReport report;
  report.mNumber = aQuery.mNumber;
  report.mIsPromoter = true;
  report.mTables.push_back(std::move(table));
  return report;
}

std::string
AnswerQuery(std::string& aInput)
{
  FrameBuffer buffer;
  buffer.Append(aInput);
  const auto payload = buffer.Next();
  if (!payload) {
    return "";
  }
  aInput.clear();
  const auto message = Decode<gateway::PeerMessage>(*payload);
  return MakeFrame(Encode(
    gateway::PeerMessage(LargeReport(std::get<gateway::PeerQuery>(message)))));
}

/// A gateway whose data centre has a host "h0" with more processor time, which
/// the slow server plays.
class Follower
{
public:
  Follower()
  {
    std::ofstream out(kSettingsPath);
    const auto port = [](int aOffset) {
      return "127.0.0.1:" + std::to_string(kGatewayPort + aOffset);
    };
    out << "[host]\nname = h1\ndata_centre = a\n[listen]\ncallers = " << port(0)
        << "\nreadiness = " << port(1) << "\npeers = " << port(2)
        << "\nmetrics = " << port(3)
        << "\n[stop]\ngrace_ms = 1000\n[platform]\nstore = 127.0.0.1:"
        << kSitePort << "\npromotions = 127.0.0.1:" << kSitePort + 1
        << "\n[data_centre.a]\nregion = r\n";
    out.close();
    mRuntime =
      std::make_unique<GatewayRuntime>(kSettingsPath, platform::MakeAdapter);
    mThread = std::thread([this] { mRuntime->Run(); });
  }
  ~Follower()
  {
    mRuntime->RequestStop();
    mThread.join();
    std::remove(kSettingsPath.c_str());
  }
  Follower(const Follower&) = delete;
  Follower& operator=(const Follower&) = delete;

private:
  std::unique_ptr<GatewayRuntime> mRuntime;
  std::thread mThread;
};

/// Whether the gateway opens a session for a database.
bool
Serves(const std::string& aDatabase)
{
  cxxtools::net::TcpStream stream("127.0.0.1", kGatewayPort);
  stream.socket().setTimeout(cxxtools::Milliseconds(2'000.0));
  stream << "STARTUP " << aDatabase << " user\r\n" << std::flush;
  std::string line;
  return std::getline(stream, line) && line.starts_with("READY");
}

/// Makes a call, with the given limits, whose answer of a size arrives in
/// pieces.
platform::HttpReply
CallSlowServer(std::size_t aSize,
               std::chrono::milliseconds aTimeout,
               std::chrono::milliseconds aMaxDuration)
{
  cxxtools::EventLoop loop;
  const SlowServer server(loop, [aSize](std::string& aInput) -> std::string {
    if (aInput.find("\r\n\r\n") == std::string::npos) {
      return "";
    }
    aInput.clear();
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aSize) +
           "\r\n\r\n" + std::string(aSize, 'x');
  });
  platform::HttpCall call(loop, kSlowAddress);
  platform::HttpQuery query;
  query.mPath = "/rows-get";
  query.mTimeout = aTimeout;
  query.mMaxDuration = aMaxDuration;
  platform::HttpReply reply;
  call.Start(query, [&](const platform::HttpReply& aReply) {
    reply = aReply;
    loop.exit();
  });
  loop.run();
  return reply;
}

}

TEST_CASE("A source whose large report arrives slowly is not given up",
          "[SlowTransfer]")
{
  standin::SiteStandin site(kSitePort);
  site.Publish(3, { "main" });
  site.Do([&] {
    site.Store().Put("camphorstep",
                     "host/h0",
                     R"({"peers":"127.0.0.1:)" + std::to_string(kSlowPort) +
                       R"(","data_centre":"a","incarnation":1,)"
                       R"("processor_thousandths":9000})");
    // Otherwise the gateway itself would take the promoter's lease.
    site.Store().Put("camphorstep",
                     "promoter",
                     R"({"holder":"h0","incarnation":1,"token":1})");
  });
  cxxtools::EventLoop loop;
  const SlowServer source(loop, AnswerQuery);
  std::thread thread([&loop] { loop.run(); });
  {
    const Follower gateway;
    const auto end = std::chrono::steady_clock::now() + 5s;
    bool isServed = false;
    while (!isServed && std::chrono::steady_clock::now() < end) {
      isServed = Serves("added");
      std::this_thread::sleep_for(50ms);
    }
    CHECK(isServed);
  }
  loop.exit();
  thread.join();
}

TEST_CASE("A call whose large answer arrives slowly is not given up",
          "[SlowTransfer]")
{
  // The time limit is longer than the pause between two pieces and shorter than
  // the transfer.
  const platform::HttpReply reply = CallSlowServer(800'000, 300ms, 20s);
  CHECK(reply.mStatus == 200);
  CHECK(reply.mBody.size() == 800'000);
}

TEST_CASE("A call whose answer does not come to its end is given up",
          "[SlowTransfer]")
{
  const platform::HttpReply reply = CallSlowServer(800'000, 300ms, 400ms);
  CHECK(reply.mStatus == 0);
  CHECK(reply.mBody.empty());
}
