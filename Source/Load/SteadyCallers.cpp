#include "Load/SteadyCallers.h"

#include <chrono>
#include <iostream>

#include <cxxtools/http/client.h>

#include "Load/HttpCaller.h"

namespace camphorstep {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint16_t kOperatorPort = 7'200;
constexpr auto kHealthInterval = std::chrono::milliseconds(100);
constexpr int kCallers = 12;
constexpr int kTransactionStatements = 3;
constexpr auto kPause = std::chrono::milliseconds(20);
constexpr std::int64_t kDeadlineMs = 10'000;

/// One caller with a connection to each proxy.
class SteadyCaller
{
public:
  SteadyCaller(const LoadSettings& aSettings,
               const Balancer& aBalancer,
               SteadyFigures& aFigures,
               int aNumber)
    : mSettings(aSettings)
    , mBalancer(aBalancer)
    , mFigures(aFigures)
    , mNumber(static_cast<std::uint64_t>(aNumber))
  {
    for (const Address& proxy : aSettings.mProxies) {
      mCallers.push_back(
        std::make_unique<HttpCaller>(proxy, aSettings.mTokens.front()));
    }
  }

  void Run(Clock::time_point aEnd)
  {
    while (Clock::now() < aEnd) {
      RunAlone();
      RunTransaction();
    }
  }

private:
  void RunAlone()
  {
    Call call;
    call.mDatabase = mSettings.mDatabase;
    call.mSession = mSession;
    call.mWrite = ++mTurn % 2 == 0;
    call.mText = (call.mWrite ? "put steady-" : "get steady-") +
                 std::to_string(mNumber) + (call.mWrite ? " 1" : "");
    Execute(call);
  }

  void RunTransaction()
  {
    Call call;
    call.mPath = "/v1/begin";
    call.mDatabase = mSettings.mDatabase;
    CallResult result = Execute(call);
    if (result.mOutcome != "done") {
      return;
    }
    ++mFigures.mTransactions;
    call.mDatabase.clear();
    call.mPath = "/v1/run";
    call.mText = "put steady-t" + std::to_string(mNumber) + " 1";
    call.mWrite = true;
    for (int n = 0; n < kTransactionStatements; ++n) {
      call.mTransaction = result.mTransaction;
      std::this_thread::sleep_for(kPause);
      result = Execute(call);
      if (result.mOutcome != "done") {
        ++mFigures.mCutTransactions;
        return;
      }
    }
    Call commit;
    commit.mPath = "/v1/commit";
    commit.mTransaction = result.mTransaction;
    if (Execute(commit).mOutcome != "done") {
      ++mFigures.mCutTransactions;
    }
  }

  CallResult Execute(Call aCall)
  {
    aCall.mDeadlineMs = kDeadlineMs;
    const std::size_t proxy = mBalancer.Pick(mNumber + ++mTurn);
    CallResult result = mCallers[proxy]->Execute(aCall);
    ++mFigures.mRequests;
    if (result.mOutcome != "done") {
      ++mFigures.mFailed;
      std::cerr << mSettings.mProxies[proxy].mIp << " " << aCall.mPath
                << " code=" << result.mCode << " outcome=" << result.mOutcome
                << "\n";
    }
    if (!result.mSession.empty()) {
      mSession = result.mSession;
    }
    return result;
  }

  const LoadSettings& mSettings;
  const Balancer& mBalancer;
  SteadyFigures& mFigures;
  std::uint64_t mNumber;
  std::uint64_t mTurn = 0;
  std::string mSession;
  std::vector<std::unique_ptr<HttpCaller>> mCallers;
};

bool
IsHealthy(const Address& aProxy)
{
  constexpr unsigned kHttpOk = 200;
  const cxxtools::Milliseconds timeout(1'000.0);
  try {
    cxxtools::http::Client client(aProxy.mIp, kOperatorPort);
    client.get("/health", timeout, timeout);
    return client.header().httpReturnCode() == kHttpOk;
  } catch (const std::exception&) {
    return false;
  }
}

}

Balancer::Balancer(const LoadSettings& aSettings)
  : mProxies(aSettings.mProxies)
  , mHealthy(aSettings.mProxies.size())
{
  for (std::size_t n = 0; n < mProxies.size(); ++n) {
    mHealthy[n] = false;
    mWatchers.emplace_back([this, n] { Watch(n); });
  }
}

Balancer::~Balancer()
{
  mEnding = true;
  for (std::thread& watcher : mWatchers) {
    watcher.join();
  }
}

std::size_t
Balancer::Pick(std::uint64_t aNumber) const
{
  for (;;) {
    for (std::size_t n = 0; n < mProxies.size(); ++n) {
      const std::size_t proxy = (aNumber + n) % mProxies.size();
      if (mHealthy[proxy]) {
        return proxy;
      }
    }
    std::this_thread::sleep_for(kHealthInterval);
  }
}

void
Balancer::Watch(std::size_t aProxy)
{
  while (!mEnding) {
    mHealthy[aProxy] = IsHealthy(mProxies[aProxy]);
    std::this_thread::sleep_for(kHealthInterval);
  }
}

void
RunSteadyCallers(const LoadSettings& aSettings,
                 Duration aDuration,
                 SteadyFigures& aFigures)
{
  const Balancer balancer(aSettings);
  const Clock::time_point end = Clock::now() + aDuration;
  std::vector<std::thread> threads;
  for (int n = 0; n < kCallers; ++n) {
    threads.emplace_back(
      [&, n] { SteadyCaller(aSettings, balancer, aFigures, n).Run(end); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void
RunSteady(const LoadSettings& aSettings)
{
  SteadyFigures figures;
  RunSteadyCallers(aSettings, aSettings.mDuration, figures);
  const double seconds =
    std::chrono::duration<double>(aSettings.mDuration).count();
  const auto done = static_cast<double>(figures.mRequests - figures.mFailed);
  std::cout << "requests=" << figures.mRequests << "\n"
            << "failed=" << figures.mFailed << "\n"
            << "transactions=" << figures.mTransactions << "\n"
            << "cut_transactions=" << figures.mCutTransactions << "\n"
            << "done_s=" << done / seconds << "\n";
}

}
