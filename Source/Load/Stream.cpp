#include "Load/Stream.h"

#include <deque>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

#include <cxxtools/connectable.h>
#include <cxxtools/eventloop.h>
#include <cxxtools/timer.h>

#include "Common/Hash.h"
#include "Load/AsyncCaller.h"

namespace camphorstep {

namespace {

constexpr double kTickMilliseconds = 1.0;
/// Answers that have not come this long after the end count as missing.
constexpr Duration kDrainTime = std::chrono::seconds(8);

/// A caller of a stream. In an open loop it has a connection to one proxy, in
/// a closed loop one to each, which it uses in turn.
struct StreamCaller
{
  std::size_t mNumber = 0;
  std::vector<std::unique_ptr<AsyncCaller>> mConnections;
  std::size_t mNextProxy = 0;
  LoadClock::time_point mReadyAt;
};

/// The part of a stream that one thread drives.
class StreamWorker : public cxxtools::Connectable
{
public:
  StreamWorker(const std::vector<Address>& aProxies,
               const Stream& aStream,
               std::size_t aWorker,
               LoadClock::time_point aEnd,
               std::uint64_t aSeed)
    : mStream(aStream)
    , mWorker(aWorker)
    , mEnd(aEnd)
    , mRandom(aSeed)
  {
    for (std::size_t n = aWorker; n < aStream.mCallers; n += aStream.mThreads) {
      AddCaller(aProxies, n);
    }
    cxxtools::connect(mTimer.timeout, *this, &StreamWorker::OnTick);
    mTimer.setSelector(mLoop);
    mTimer.start(cxxtools::Milliseconds(kTickMilliseconds));
    mNextArrival = LoadClock::now() + DrawPause();
  }

  void Run() { mLoop.run(); }

  const StreamFigures& Figures() const { return mFigures; }

private:
  bool IsOpenLoop() const { return mStream.mRate > 0; }

  void AddCaller(const std::vector<Address>& aProxies, std::size_t aNumber)
  {
    StreamCaller caller;
    caller.mNumber = aNumber;
    const std::size_t count = IsOpenLoop() ? 1 : aProxies.size();
    for (std::size_t n = 0; n < count; ++n) {
      const Address& proxy = aProxies[(aNumber + n) % aProxies.size()];
      caller.mConnections.push_back(
        std::make_unique<AsyncCaller>(mLoop, proxy, mStream.mToken));
    }
    caller.mReadyAt = LoadClock::now() + DrawThinkTime();
    mIdle.push_back(mCallers.size());
    mCallers.push_back(std::move(caller));
  }

  /// Spreads the first calls of a closed loop over one think time.
  Duration DrawThinkTime()
  {
    return Duration(std::uniform_int_distribution<std::int64_t>(
      0, mStream.mThinkTime.count())(mRandom));
  }

  LoadClock::duration DrawPause()
  {
    if (!IsOpenLoop()) {
      return LoadClock::duration::zero();
    }
    const double rate = mStream.mRate / static_cast<double>(mStream.mThreads);
    const std::chrono::duration<double> pause(
      std::exponential_distribution<double>(rate)(mRandom));
    return std::chrono::duration_cast<LoadClock::duration>(pause);
  }

  void OnTick()
  {
    const LoadClock::time_point now = LoadClock::now();
    if (now >= mEnd) {
      if (mIdle.size() == mCallers.size() || now >= mEnd + kDrainTime) {
        mFigures.mUnanswered += mCallers.size() - mIdle.size();
        mLoop.exit();
      }
      return;
    }
    if (IsOpenLoop()) {
      StartArrivals(now);
    } else {
      StartReady(now);
    }
  }

  void StartArrivals(LoadClock::time_point aNow)
  {
    while (mNextArrival <= aNow) {
      ++mFigures.mOffered;
      if (mIdle.empty()) {
        ++mFigures.mUnsent;
      } else {
        // The caller that has been idle for longest, so that all proxies get
        // their part.
        const std::size_t index = mIdle.front();
        mIdle.pop_front();
        Start(index, mNextArrival);
      }
      mNextArrival += DrawPause();
    }
  }

  void StartReady(LoadClock::time_point aNow)
  {
    const std::deque<std::size_t> idle = std::exchange(mIdle, {});
    for (const std::size_t n : idle) {
      if (mCallers[n].mReadyAt <= aNow) {
        ++mFigures.mOffered;
        Start(n, aNow);
      } else {
        mIdle.push_back(n);
      }
    }
  }

  void Start(std::size_t aIndex, LoadClock::time_point aDueAt)
  {
    StreamCaller& caller = mCallers[aIndex];
    CompletedCall call;
    call.mCaller = caller.mNumber;
    call.mCall =
      mStream.mMakeCall(caller.mNumber, mWorker + mStream.mThreads * mCalls++);
    call.mDueAt = aDueAt;
    call.mSentAt = LoadClock::now();
    AsyncCaller& connection =
      *caller.mConnections[caller.mNextProxy++ % caller.mConnections.size()];
    const Call& request = call.mCall;
    connection.Start(request, [this, aIndex, call](const CallResult& aResult) {
      CompletedCall completed = call;
      completed.mResult = aResult;
      Finish(aIndex, completed);
    });
  }

  void Finish(std::size_t aIndex, CompletedCall& aCall)
  {
    aCall.mAnsweredAt = LoadClock::now();
    Count(aCall);
    if (mStream.mOnCompleted) {
      mStream.mOnCompleted(aCall);
    }
    mCallers[aIndex].mReadyAt = aCall.mAnsweredAt + mStream.mThinkTime;
    const bool again = !IsOpenLoop() && mStream.mThinkTime.count() == 0 &&
                       aCall.mResult.mAnswered && aCall.mAnsweredAt < mEnd;
    if (again) {
      ++mFigures.mOffered;
      Start(aIndex, aCall.mAnsweredAt);
    } else {
      mIdle.push_back(aIndex);
    }
  }

  void Count(const CompletedCall& aCall)
  {
    const auto latency =
      std::chrono::duration_cast<Duration>(aCall.mAnsweredAt - aCall.mDueAt);
    const CallResult& result = aCall.mResult;
    if (result.mAnswered && result.mOutcome != "done") {
      ++mFigures.mFailures[result.mCode];
    }
    if (!result.mAnswered) {
      ++mFigures.mUnanswered;
    } else if (result.mOutcome == "done") {
      ++mFigures.mDone;
      mFigures.mReplica += result.mReplica ? 1 : 0;
      mFigures.mDoneLatencies.push_back(latency);
    } else if (result.mOutcome == "not run") {
      ++mFigures.mNotRun;
      mFigures.mRefusalLatencies.push_back(latency);
    } else {
      ++mFigures.mUnknown;
    }
  }

  const Stream& mStream;
  const std::size_t mWorker;
  const LoadClock::time_point mEnd;
  std::mt19937_64 mRandom;
  cxxtools::EventLoop mLoop;
  cxxtools::Timer mTimer;
  std::vector<StreamCaller> mCallers;
  /// Indexes of the callers without a call.
  std::deque<std::size_t> mIdle;
  LoadClock::time_point mNextArrival;
  std::uint64_t mCalls = 0;
  StreamFigures mFigures;
};

void
Append(std::vector<Duration>& aTo, const std::vector<Duration>& aFrom)
{
  aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
}

}

void
StreamFigures::Add(const StreamFigures& aOther)
{
  mOffered += aOther.mOffered;
  mDone += aOther.mDone;
  mNotRun += aOther.mNotRun;
  mUnknown += aOther.mUnknown;
  mUnanswered += aOther.mUnanswered;
  mUnsent += aOther.mUnsent;
  mReplica += aOther.mReplica;
  for (const auto& [code, count] : aOther.mFailures) {
    mFailures[code] += count;
  }
  Append(mDoneLatencies, aOther.mDoneLatencies);
  Append(mRefusalLatencies, aOther.mRefusalLatencies);
}

double
StreamFigures::Success() const
{
  return mOffered == 0
           ? 0.0
           : static_cast<double>(mDone) / static_cast<double>(mOffered);
}

std::vector<StreamFigures>
RunStreams(const std::vector<Address>& aProxies,
           const std::vector<Stream>& aStreams,
           Duration aDuration,
           std::uint64_t aSeed)
{
  std::vector<StreamFigures> figures(aStreams.size());
  std::mutex mutex;
  std::vector<std::thread> threads;
  const LoadClock::time_point end = LoadClock::now() + aDuration;
  for (std::size_t n = 0; n < aStreams.size(); ++n) {
    for (std::size_t worker = 0; worker < aStreams[n].mThreads; ++worker) {
      threads.emplace_back([&, n, worker] {
        const std::uint64_t seed = HashPair(aSeed, n * 1'000 + worker);
        StreamWorker driver(aProxies, aStreams[n], worker, end, seed);
        driver.Run();
        const std::lock_guard lock(mutex);
        figures[n].Add(driver.Figures());
      });
    }
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return figures;
}

}
