#include "Load/Overhead.h"

#include <chrono>
#include <functional>
#include <iostream>
#include <mutex>
#include <thread>

#include "Load/HttpCaller.h"
#include "Load/Latency.h"
#include "Messages/ServerMessage.h"
#include "Wire/BlockingChannel.h"
#include "Wire/Codec.h"

namespace camphorstep {

namespace {

using Clock = std::chrono::steady_clock;

/// Clients that together keep all slots of a server busy.
constexpr int kBusyClients = 8;
constexpr const char* kStatement = "put overhead 1";

/// What one run of a client saw.
struct RunFigures
{
  std::vector<Duration> mLatencies;
  double mThroughput = 0;
};

/// Makes one request and waits for its answer.
using Operation = std::function<void()>;

/// Repeats an operation until the time is up.
std::vector<Duration>
Repeat(const Operation& aOperation, Clock::time_point aEnd)
{
  std::vector<Duration> latencies;
  while (Clock::now() < aEnd) {
    const Clock::time_point start = Clock::now();
    aOperation();
    latencies.push_back(
      std::chrono::duration_cast<Duration>(Clock::now() - start));
  }
  return latencies;
}

RunFigures
RunClients(int aClients,
           Duration aDuration,
           const std::function<Operation()>& aMakeOperation)
{
  RunFigures figures;
  std::mutex mutex;
  std::vector<std::thread> threads;
  const Clock::time_point end = Clock::now() + aDuration;
  for (int n = 0; n < aClients; ++n) {
    threads.emplace_back([&] {
      const std::vector<Duration> latencies = Repeat(aMakeOperation(), end);
      const std::lock_guard lock(mutex);
      figures.mLatencies.insert(
        figures.mLatencies.end(), latencies.begin(), latencies.end());
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  figures.mThroughput = static_cast<double>(figures.mLatencies.size()) /
                        std::chrono::duration<double>(aDuration).count();
  return figures;
}

Operation
MakeDirectOperation(const LoadSettings& aSettings)
{
  auto channel = std::make_shared<BlockingChannel>(aSettings.mServers.front());
  ServerRequest hello;
  hello.mOperation = ServerOperation::Hello;
  channel->Send(Encode(hello));
  channel->Receive();
  return [channel] {
    ServerRequest request;
    request.mOperation = ServerOperation::Run;
    request.mText = kStatement;
    request.mWrite = true;
    channel->Send(Encode(request));
    const std::optional<std::string> payload = channel->Receive();
    if (!payload || Decode<ServerReply>(*payload).mStatus != ServerStatus::Ok) {
      throw std::runtime_error("the server failed a direct statement");
    }
  };
}

Operation
MakeProxyOperation(const LoadSettings& aSettings, const std::string& aToken)
{
  auto caller =
    std::make_shared<HttpCaller>(aSettings.mProxies.front(), aToken);
  return [caller, database = aSettings.mDatabase] {
    Call call;
    call.mDatabase = database;
    call.mText = kStatement;
    call.mWrite = true;
    const CallResult result = caller->Execute(call);
    if (result.mOutcome != "done") {
      throw std::runtime_error("the proxy answered " +
                               std::to_string(result.mCode));
    }
  };
}

void
Print(const char* aName, double aValue)
{
  std::cout << aName << "=" << aValue << "\n";
}

double
Difference(const RunFigures& aProxy, const RunFigures& aDirect, double aShare)
{
  return static_cast<double>((PercentileOf(aProxy.mLatencies, aShare) -
                              PercentileOf(aDirect.mLatencies, aShare))
                               .count());
}

}

void
RunOverhead(const LoadSettings& aSettings)
{
  const Duration part = aSettings.mDuration / 5;
  const auto direct = [&] { return MakeDirectOperation(aSettings); };
  // The direct client does not wait for a second server, nor do writes under
  // the profile of the last service; those of the first service do.
  const auto proxied = [&] {
    return MakeProxyOperation(aSettings, aSettings.mTokens.back());
  };
  const auto replicated = [&] {
    return MakeProxyOperation(aSettings, aSettings.mTokens.front());
  };
  RunClients(1, part / 4, proxied); // opens connections
  const RunFigures directIdle = RunClients(1, part, direct);
  const RunFigures proxyIdle = RunClients(1, part, proxied);
  const RunFigures replicatedIdle = RunClients(1, part, replicated);
  const RunFigures directBusy = RunClients(kBusyClients, part, direct);
  const RunFigures proxyBusy = RunClients(kBusyClients, part, proxied);
  Print("overhead_p50_us", Difference(proxyIdle, directIdle, 0.5));
  Print("overhead_p99_us", Difference(proxyIdle, directIdle, 0.99));
  Print("overhead_replicated_p50_us",
        Difference(replicatedIdle, directIdle, 0.5));
  Print("overhead_replicated_p99_us",
        Difference(replicatedIdle, directIdle, 0.99));
  Print("direct_statements_s", directBusy.mThroughput);
  Print("proxy_statements_s", proxyBusy.mThroughput);
  Print("proxy_statements",
        static_cast<double>(proxyIdle.mLatencies.size() +
                            replicatedIdle.mLatencies.size() +
                            proxyBusy.mLatencies.size()));
  Print("throughput_ratio", proxyBusy.mThroughput / directBusy.mThroughput);
}

}
