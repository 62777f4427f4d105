#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Load/HttpCaller.h"
#include "Model/Topology.h"

namespace camphorstep {

using LoadClock = std::chrono::steady_clock;

/// A call of a stream when its answer has come.
struct CompletedCall
{
  /// The caller of the stream that made it.
  std::size_t mCaller = 0;
  Call mCall;
  CallResult mResult;
  /// When the call was due: latency counts from here, so that a slow system
  /// cannot hide by holding up the load.
  LoadClock::time_point mDueAt;
  LoadClock::time_point mSentAt;
  LoadClock::time_point mAnsweredAt;
};

/// One kind of work that a service offers. Handlers are called on several
/// threads.
struct Stream
{
  std::string mToken;
  /// Arrivals per second, spread at random; zero for a closed loop, in which
  /// each caller makes its next call when the last one is answered.
  double mRate = 0;
  /// Closed loop: the pause between an answer and the next call.
  Duration mThinkTime{ 0 };
  /// Callers, each with one call at a time. Arrivals that find none free are
  /// counted as unsent.
  std::size_t mCallers = 64;
  std::size_t mThreads = 1;
  /// Makes the call with the given number.
  std::function<Call(std::size_t aCaller, std::uint64_t aNumber)> mMakeCall;
  std::function<void(const CompletedCall&)> mOnCompleted;
};

/// What came of a stream.
struct StreamFigures
{
  std::uint64_t mOffered = 0;
  std::uint64_t mDone = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  /// No answer, or a malformed one.
  std::uint64_t mUnanswered = 0;
  /// Arrivals for which the tool had no caller free.
  std::uint64_t mUnsent = 0;
  std::uint64_t mReplica = 0;
  /// Answers other than "done" by their result code.
  std::map<unsigned, std::uint64_t> mFailures;
  std::vector<Duration> mDoneLatencies;
  std::vector<Duration> mRefusalLatencies;

  void Add(const StreamFigures& aOther);
  /// The share of the offered calls that were done.
  double Success() const;
};

/// Runs streams side by side for a time, against all proxies in turn, and
/// then waits for the answers that are still out.
std::vector<StreamFigures> RunStreams(const std::vector<Address>& aProxies,
                                      const std::vector<Stream>& aStreams,
                                      Duration aDuration,
                                      std::uint64_t aSeed);

}
