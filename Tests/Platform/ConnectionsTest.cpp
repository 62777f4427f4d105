#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <cxxtools/eventloop.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/timer.h>

#include "Shell/StreamSocket.h"
#include "platform/BackendPort.h"
#include "platform/CallerPort.h"

using namespace camphorstep;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t kServerPort = 18'931;
constexpr std::uint16_t kCallerPort = 18'932;
const Address kServerAddress{ "127.0.0.1", kServerPort };
const Address kCallerAddress{ "127.0.0.1", kCallerPort };
/// A test that takes longer has failed.
constexpr double kTimeLimitMs = 5'000.0;

/// Hands events to a function.
class FunctionSink : public GatewaySink
{
public:
  void Deliver(gateway::EventBody aEvent) override
  {
    mHandler(std::move(aEvent));
  }

  std::function<void(gateway::EventBody)> mHandler = [](const auto&) {};
};

/// An event loop that ends by itself.
class TestLoop : public cxxtools::Connectable
{
public:
  TestLoop()
  {
    mTimer.setSelector(mLoop);
    cxxtools::connect(mTimer.timeout, *this, &TestLoop::OnTimeout);
    mTimer.start(cxxtools::Milliseconds(kTimeLimitMs));
  }

  void Run() { mLoop.run(); }

  cxxtools::EventLoop mLoop;
  bool mTimedOut = false;

private:
  void OnTimeout()
  {
    mTimedOut = true;
    mLoop.exit();
  }

  cxxtools::Timer mTimer;
};

/// A listener that sends a text to each connection.
class TalkingServer : public cxxtools::Connectable
{
public:
  TalkingServer(cxxtools::SelectorBase& aLoop, std::string aText)
    : mLoop(aLoop)
    , mText(std::move(aText))
    , mListener(kServerAddress.mIp, kServerAddress.mPort)
  {
    cxxtools::connect(
      mListener.connectionPending, *this, &TalkingServer::OnPending);
    mListener.setSelector(aLoop);
  }

private:
  void OnPending(cxxtools::net::TcpServer& aListener)
  {
    mSockets.push_back(std::make_unique<StreamSocket>(
      StreamSocket::Handlers{ [] {}, [](std::string_view) {}, [](bool) {} },
      1024));
    mSockets.back()->Accept(mLoop, aListener);
    mSockets.back()->Append(mText);
    mSockets.back()->Flush();
  }

  cxxtools::SelectorBase& mLoop;
  std::string mText;
  cxxtools::net::TcpServer mListener;
  std::vector<std::unique_ptr<StreamSocket>> mSockets;
};

}

TEST_CASE("A connection may be closed and another opened from its own answer",
          "[Connections]")
{
  TestLoop loop;
  // The lines after the one that has the connection closed come with it.
  const TalkingServer server(loop.mLoop,
                             "READY I 1.1\r\nCOMPLETE a\r\nREADY I 1.2\r\n"
                             "ERROR FAILED x\r\nREADY I 1.3\r\n");
  FunctionSink sink;
  platform::BackendPort port(loop.mLoop, sink);
  std::uint64_t opened = 1;
  sink.mHandler = [&](const gateway::EventBody& aEvent) {
    if (const auto* const ready = std::get_if<gateway::LinkReady>(&aEvent)) {
      port.Carry(gateway::CloseLink{ ready->mLink });
      if (++opened > 20) {
        loop.mLoop.exit();
        return;
      }
      port.Carry(gateway::OpenLink{
        gateway::LinkId{ opened }, kServerAddress, "g", "s" });
      port.Flush();
    }
  };
  port.Carry(
    gateway::OpenLink{ gateway::LinkId{ 1 }, kServerAddress, "g", "s" });
  loop.Run();
  CHECK_FALSE(loop.mTimedOut);
  CHECK(opened == 21);
}

TEST_CASE("A refused connection is told apart from a silent one",
          "[Connections]")
{
  TestLoop loop;
  FunctionSink sink;
  platform::BackendPort port(loop.mLoop, sink);
  bool answered = false;
  sink.mHandler = [&](const gateway::EventBody& aEvent) {
    if (const auto* const closed = std::get_if<gateway::LinkClosed>(&aEvent)) {
      answered = closed->mIsClosedByPeer;
      loop.mLoop.exit();
    }
  };
  port.Carry(
    gateway::OpenLink{ gateway::LinkId{ 1 }, kServerAddress, "g", "s" });
  loop.Run();
  CHECK(answered);
}

TEST_CASE("What a server says when it refuses a connection is passed on",
          "[Connections]")
{
  TestLoop loop;
  const TalkingServer server(loop.mLoop, "ERROR TOOMANY 32\r\n");
  FunctionSink sink;
  platform::BackendPort port(loop.mLoop, sink);
  ResultCode code = ResultCode::Ok;
  sink.mHandler = [&](const gateway::EventBody& aEvent) {
    if (const auto* const closed = std::get_if<gateway::LinkClosed>(&aEvent)) {
      code = closed->mCode;
      loop.mLoop.exit();
    }
  };
  port.Carry(
    gateway::OpenLink{ gateway::LinkId{ 1 }, kServerAddress, "g", "s" });
  loop.Run();
  CHECK(code == ResultCode::TooManyConnections);
}

TEST_CASE("A caller that resets its connection is refused without harm",
          "[Connections]")
{
  TestLoop loop;
  FunctionSink sink;
  platform::CallerPort port(loop.mLoop, sink, kCallerAddress);
  std::vector<std::unique_ptr<StreamSocket>> callers;
  std::size_t ended = 0;
  constexpr std::size_t kCallers = 20;
  sink.mHandler = [&](const gateway::EventBody& aEvent) {
    if (const auto* const opened =
          std::get_if<gateway::SessionOpened>(&aEvent)) {
      // The caller is gone before the refusal is sent.
      for (const auto& caller : callers) {
        caller->Close();
      }
      port.Carry(gateway::RefuseSession{
        opened->mSession, ResultCode::UnknownDatabase, "x" });
      port.Carry(gateway::CloseSession{ opened->mSession });
      if (++ended == kCallers) {
        loop.mLoop.exit();
      }
    }
  };
  for (std::size_t n = 0; n < kCallers; ++n) {
    callers.push_back(std::make_unique<StreamSocket>(
      StreamSocket::Handlers{ [] {}, [](std::string_view) {}, [](bool) {} },
      1024));
    callers.back()->Append("STARTUP db user\r\nQUERY a READ 1\r\n");
    callers.back()->Connect(loop.mLoop, kCallerAddress);
  }
  loop.Run();
  CHECK(ended > 0);
}

TEST_CASE("A line feed inside a field does not end the message",
          "[Connections]")
{
  // Guards against a text that is cut short, and whose rest runs as a statement
  // of its own.
  TestLoop loop;
  FunctionSink sink;
  platform::CallerPort port(loop.mLoop, sink, kCallerAddress);
  std::vector<std::string> texts;
  sink.mHandler = [&](const gateway::EventBody& aEvent) {
    if (const auto* const opened =
          std::get_if<gateway::SessionOpened>(&aEvent)) {
      port.Carry(gateway::AcceptSession{ opened->mSession });
    }
    if (const auto* const received =
          std::get_if<gateway::StatementReceived>(&aEvent)) {
      texts.push_back(received->mStatement.mText);
      loop.mLoop.exit();
    }
  };
  StreamSocket caller({ [] {}, [](std::string_view) {}, [](bool) {} }, 1024);
  caller.Append("STARTUP db user\r\n"
                "QUERY a WRITE i one\nQUERY b WRITE j two\r\n");
  caller.Connect(loop.mLoop, kCallerAddress);
  loop.Run();
  CHECK(texts ==
        std::vector<std::string>{ "WRITE i one\nQUERY b WRITE j two" });
}

TEST_CASE("Bytes that are no message of the protocol end the session",
          "[Connections]")
{
  TestLoop loop;
  FunctionSink sink;
  platform::CallerPort port(loop.mLoop, sink, kCallerAddress);
  bool ended = false;
  std::string answer;
  sink.mHandler = [&](const gateway::EventBody& aEvent) {
    ended = ended || std::holds_alternative<gateway::SessionEnded>(aEvent);
  };
  StreamSocket caller({ [] {},
                        [&](std::string_view aBytes) { answer += aBytes; },
                        [&](bool) { loop.mLoop.exit(); } },
                      1024);
  caller.Append("GET / HTTP/1.1\r\n");
  caller.Connect(loop.mLoop, kCallerAddress);
  loop.Run();
  CHECK(ended);
  CHECK(answer.starts_with("ERROR MALFORMED"));
}
