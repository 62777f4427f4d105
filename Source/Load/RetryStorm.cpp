#include "Load/RetryStorm.h"

#include <algorithm>
#include <mutex>
#include <thread>
#include <vector>

#include "Load/Figures.h"
#include "Load/StandinClient.h"
#include "Load/Stream.h"

namespace camphorstep {

namespace {

constexpr double kWriteRate = 150;
constexpr double kReadRate = 150;
constexpr Duration kBefore = std::chrono::seconds(2);
constexpr Duration kOutage = std::chrono::seconds(5);
/// Service is full again once this share of the calls due in an interval is
/// done, in this and in all later intervals.
constexpr double kFullService = 0.99;
constexpr Duration kInterval = std::chrono::milliseconds(100);

/// When each call was due and whether it was done.
class CallRecord
{
public:
  void Note(const CompletedCall& aCall)
  {
    const std::lock_guard lock(mMutex);
    mCalls.push_back({ aCall.mDueAt, aCall.mResult.mOutcome == "done" });
  }

  /// How long after a time service was full again, by the time at which calls
  /// were due.
  Duration TimeToFullService(LoadClock::time_point aSince,
                             LoadClock::time_point aEnd) const
  {
    Duration full = std::chrono::duration_cast<Duration>(aEnd - aSince);
    for (Duration start = full - kInterval; start >= Duration{ 0 };
         start -= kInterval) {
      if (ShareDone(aSince + start, aSince + start + kInterval) <
          kFullService) {
        break;
      }
      full = start;
    }
    return full;
  }

private:
  struct Item
  {
    LoadClock::time_point mDueAt;
    bool mDone = false;
  };

  double ShareDone(LoadClock::time_point aFrom, LoadClock::time_point aTo) const
  {
    std::size_t due = 0;
    std::size_t done = 0;
    for (const Item& item : mCalls) {
      if (item.mDueAt >= aFrom && item.mDueAt < aTo) {
        ++due;
        done += item.mDone ? 1 : 0;
      }
    }
    return due == 0 ? 1.0
                    : static_cast<double>(done) / static_cast<double>(due);
  }

  std::mutex mMutex;
  std::vector<Item> mCalls;
};

Stream
MakeStream(const LoadSettings& aSettings, CallRecord& aRecord, bool aWrites)
{
  Stream stream;
  stream.mToken = aSettings.mTokens.at(0);
  stream.mRate = aWrites ? kWriteRate : kReadRate;
  stream.mCallers = 1'500;
  stream.mThreads = 3;
  stream.mMakeCall = [aWrites, database = aSettings.mDatabase](
                       std::size_t, std::uint64_t aNumber) {
    Call call;
    call.mDatabase = database;
    call.mText = aWrites ? "put storm " + std::to_string(aNumber) : "get storm";
    call.mWrite = aWrites;
    call.mIdempotent = true;
    return call;
  };
  stream.mOnCompleted = [&aRecord](const CompletedCall& aCall) {
    aRecord.Note(aCall);
  };
  return stream;
}

std::uint64_t
StatementsReceived(const LoadSettings& aSettings)
{
  std::uint64_t count = 0;
  for (const Address& control : aSettings.mControls) {
    count += ReadStatementsReceived(control);
  }
  return count;
}

}

void
RunRetryStorm(const LoadSettings& aSettings)
{
  CallRecord record;
  const Duration duration =
    std::max(aSettings.mDuration, kBefore + kOutage + 2 * kBefore);
  const std::uint64_t before = StatementsReceived(aSettings);
  const LoadClock::time_point start = LoadClock::now();
  std::thread outage([&] {
    std::this_thread::sleep_for(kBefore);
    SetFault(aSettings.mControls.front(), "down=1");
    std::this_thread::sleep_for(kOutage);
    SetFault(aSettings.mControls.front(), "down=0");
  });
  const std::vector<StreamFigures> figures =
    RunStreams(aSettings.mProxies,
               { MakeStream(aSettings, record, true),
                 MakeStream(aSettings, record, false) },
               duration,
               aSettings.mSeed);
  outage.join();
  const auto offered =
    static_cast<double>(figures[0].mOffered + figures[1].mOffered);
  const auto received =
    static_cast<double>(StatementsReceived(aSettings) - before);
  PrintFigure(aSettings, "calls", offered);
  PrintFigure(aSettings, "amplification", received / offered);
  PrintFigure(aSettings,
              "time_to_full_service_ms",
              MillisecondsOf(record.TimeToFullService(start + kBefore + kOutage,
                                                      start + duration)));
  PrintFigure(aSettings, "write_success", figures[0].Success());
  PrintFigure(aSettings, "read_success", figures[1].Success());
  PrintFailures(aSettings, "write", figures[0]);
  PrintFailures(aSettings, "read", figures[1]);
  PrintFigure(aSettings,
              "unknown",
              static_cast<double>(figures[0].mUnknown + figures[1].mUnknown));
}

}
