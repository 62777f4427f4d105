#include "Load/Silence.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <mutex>
#include <stdexcept>
#include <thread>

#include "Load/HttpCaller.h"
#include "Load/Latency.h"
#include "Load/LinkControl.h"

namespace camphorstep {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kCallersPerProxy = 2;
constexpr std::chrono::milliseconds kPause(5);
/// Half the time from one silence to the next.
constexpr std::chrono::milliseconds kHalfInterval(1'000);
constexpr std::int64_t kDeadlineMs = 5'000;

/// What the callers of one type saw.
struct CallerFigures
{
  std::uint64_t mDone = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  /// Each caller's longest times between two answers "done", one for each
  /// time that connections were silenced.
  std::vector<Duration> mGaps;
};

class SilenceRun
{
public:
  explicit SilenceRun(const LoadSettings& aSettings)
    : mSettings(aSettings)
    , mEnd(Clock::now() + aSettings.mDuration)
  {
  }

  void Run()
  {
    std::vector<std::thread> threads;
    for (const Address& proxy : mSettings.mProxies) {
      for (int n = 0; n < kCallersPerProxy; ++n) {
        const bool idempotent = n % 2 == 0;
        threads.emplace_back(
          [this, proxy, idempotent] { RunCaller(proxy, idempotent); });
      }
    }
    SilenceUntilEnd();
    for (std::thread& thread : threads) {
      thread.join();
    }
    Report();
  }

private:
  void SilenceUntilEnd()
  {
    for (;;) {
      std::this_thread::sleep_for(kHalfInterval);
      if (Clock::now() + kHalfInterval >= mEnd) {
        return;
      }
      for (const Address& control : mSettings.mControls) {
        ControlLink(control, "silence=1");
      }
      ++mSilences;
      std::this_thread::sleep_for(kHalfInterval);
    }
  }

  void RunCaller(const Address& aProxy, bool aIdempotent)
  {
    HttpCaller caller(aProxy, mSettings.mTokens.front());
    CallerFigures figures;
    Clock::time_point lastDone = Clock::now();
    int silences = mSilences;
    Duration gap{ 0 };
    while (Clock::now() < mEnd) {
      const CallResult result = caller.Execute(MakeCall(aIdempotent));
      Count(result, figures);
      if (result.mOutcome == "done") {
        const Clock::time_point now = Clock::now();
        gap =
          std::max(gap, std::chrono::duration_cast<Duration>(now - lastDone));
        lastDone = now;
      }
      if (silences != mSilences) {
        figures.mGaps.push_back(gap);
        gap = Duration{ 0 };
        silences = mSilences;
      }
      std::this_thread::sleep_for(kPause);
    }
    figures.mGaps.push_back(gap);
    Merge(aIdempotent, figures);
  }

  /// Writes that are not idempotent add to a number, so that one which lands
  /// twice shows.
  Call MakeCall(bool aIdempotent) const
  {
    Call call;
    call.mDatabase = mSettings.mDatabase;
    call.mText = aIdempotent ? "put silence-mark 1" : "add silence-count 1";
    call.mWrite = true;
    call.mIdempotent = aIdempotent;
    call.mDeadlineMs = kDeadlineMs;
    return call;
  }

  static void Count(const CallResult& aResult, CallerFigures& aFigures)
  {
    if (aResult.mOutcome == "done") {
      ++aFigures.mDone;
    } else if (aResult.mOutcome == "not run") {
      ++aFigures.mNotRun;
    } else {
      ++aFigures.mUnknown;
    }
  }

  void Merge(bool aIdempotent, const CallerFigures& aFigures)
  {
    const std::lock_guard lock(mMutex);
    CallerFigures& all = aIdempotent ? mIdempotent : mOnce;
    all.mDone += aFigures.mDone;
    all.mNotRun += aFigures.mNotRun;
    all.mUnknown += aFigures.mUnknown;
    all.mGaps.insert(
      all.mGaps.end(), aFigures.mGaps.begin(), aFigures.mGaps.end());
  }

  std::uint64_t ReadCount() const
  {
    HttpCaller caller(mSettings.mProxies.front(), mSettings.mTokens.front());
    Call call;
    call.mDatabase = mSettings.mDatabase;
    call.mText = "get silence-count";
    const CallResult result = caller.Execute(call);
    if (result.mOutcome != "done" || result.mResult.empty()) {
      throw std::runtime_error("the count could not be read");
    }
    return std::stoull(result.mResult);
  }

  static void ReportType(const std::string& aName,
                         const CallerFigures& aFigures)
  {
    const auto milliseconds = [](Duration aDuration) {
      return static_cast<double>(aDuration.count()) / 1'000;
    };
    std::cout << aName << "_done=" << aFigures.mDone << "\n"
              << aName << "_not_run=" << aFigures.mNotRun << "\n"
              << aName << "_unknown=" << aFigures.mUnknown << "\n"
              << aName << "_gap_p50_ms="
              << milliseconds(PercentileOf(aFigures.mGaps, 0.5)) << "\n"
              << aName << "_gap_max_ms="
              << milliseconds(PercentileOf(aFigures.mGaps, 1.0)) << "\n";
  }

  void Report() const
  {
    const std::uint64_t count = ReadCount();
    const std::uint64_t most = mOnce.mDone + mOnce.mUnknown;
    std::cout << "silences=" << mSilences << "\n";
    ReportType("idempotent", mIdempotent);
    ReportType("once", mOnce);
    std::cout << "once_lost=" << mOnce.mDone - std::min(mOnce.mDone, count)
              << "\nonce_doubled=" << count - std::min(count, most) << "\n";
    if (count < mOnce.mDone || count > most) {
      throw std::runtime_error("writes were lost or landed twice");
    }
  }

  const LoadSettings& mSettings;
  const Clock::time_point mEnd;
  std::atomic<int> mSilences{ 0 };
  std::mutex mMutex;
  CallerFigures mIdempotent;
  CallerFigures mOnce;
};

}

void
RunSilence(const LoadSettings& aSettings)
{
  SilenceRun(aSettings).Run();
}

}
