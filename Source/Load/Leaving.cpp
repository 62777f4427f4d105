#include "Load/Leaving.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include <cxxtools/http/client.h>

#include "Load/HttpCaller.h"

namespace camphorstep {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kCallers = 6;
constexpr std::size_t kUrgentToken = 0;
constexpr std::size_t kBackgroundToken = 2;

/// When each server was last given a request that it answered.
class LastWork
{
public:
  void Note(const std::string& aServer, Clock::time_point aSentAt)
  {
    const std::lock_guard lock(mMutex);
    Clock::time_point& last = mLast[aServer];
    last = std::max(last, aSentAt);
    ++mCounts[aServer];
  }

  Clock::time_point Of(const std::string& aServer) const
  {
    const std::lock_guard lock(mMutex);
    const auto it = mLast.find(aServer);
    return it == mLast.end() ? Clock::time_point{} : it->second;
  }

  /// The server that answered most.
  std::string Busiest() const
  {
    const std::lock_guard lock(mMutex);
    std::string busiest;
    int most = 0;
    for (const auto& [server, count] : mCounts) {
      if (count > most) {
        busiest = server;
        most = count;
      }
    }
    return busiest;
  }

private:
  mutable std::mutex mMutex;
  std::map<std::string, Clock::time_point> mLast;
  std::map<std::string, int> mCounts;
};

/// The balancer's list of machines is steered on the platform's page.
void
List(const LoadSettings& aSettings,
     const std::string& aServer,
     const char* aState)
{
  cxxtools::http::Client client(aSettings.mPlatform.mIp,
                                aSettings.mPlatform.mPort);
  client.get("/machine?name=" + aServer + "&kind=server&state=" + aState);
}

/// Runs callers for the duration, and marks the busiest server as leaving
/// after a third of it. Prints how long it was still given work.
void
Measure(const LoadSettings& aSettings,
        bool aWrite,
        std::size_t aToken,
        const char* aFigure)
{
  LastWork work;
  std::atomic<std::uint64_t> failed{ 0 };
  const Clock::time_point start = Clock::now();
  const Clock::time_point end = start + aSettings.mDuration / 2;
  std::vector<std::thread> threads;
  for (int n = 0; n < kCallers; ++n) {
    threads.emplace_back([&, n] {
      const auto proxy = static_cast<std::size_t>(n);
      HttpCaller caller(aSettings.mProxies[proxy % aSettings.mProxies.size()],
                        aSettings.mTokens.at(aToken));
      Call call;
      call.mDatabase = aSettings.mDatabase;
      call.mText = aWrite ? "put leaving 1" : "get leaving";
      call.mWrite = aWrite;
      while (Clock::now() < end) {
        const Clock::time_point sentAt = Clock::now();
        const CallResult result = caller.Execute(call);
        if (result.mOutcome == "done") {
          work.Note(result.mServer, sentAt);
        } else {
          ++failed;
        }
      }
    });
  }
  std::this_thread::sleep_for(aSettings.mDuration / 6);
  const std::string leaving = work.Busiest();
  const Clock::time_point listedAt = Clock::now();
  List(aSettings, leaving, "leaving");
  for (std::thread& thread : threads) {
    thread.join();
  }
  const auto last = std::chrono::duration_cast<std::chrono::milliseconds>(
    work.Of(leaving) - listedAt);
  std::cout << aFigure << "server=" << leaving << "\n"
            << aFigure << "last_new_work_ms=" << last.count() << "\n"
            << aFigure << "failed=" << failed << "\n";
  List(aSettings, leaving, "live");
}

}

void
RunLeaving(const LoadSettings& aSettings)
{
  Measure(aSettings, false, kBackgroundToken, "");
  Measure(aSettings, true, kUrgentToken, "primary_");
}

}
