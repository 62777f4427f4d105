#pragma once

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Load/LoadSettings.h"

namespace camphorstep {

using LoadClock = std::chrono::steady_clock;

/// A write, when it was sent, and when and how it was answered.
struct WriteRecord
{
  std::string mText;
  std::string mOutcome;
  unsigned mCode = 0;
  LoadClock::time_point mSentAt;
  LoadClock::time_point mAnsweredAt;
};

/// Writes one text after another through one proxy, each of them once.
class SteadyWriter
{
public:
  /// With keys, each write carries an idempotency key.
  SteadyWriter(const LoadSettings& aSettings,
               const Address& aProxy,
               std::string aName,
               bool aWithKeys);
  ~SteadyWriter();

  SteadyWriter(const SteadyWriter&) = delete;
  SteadyWriter& operator=(const SteadyWriter&) = delete;

  std::vector<WriteRecord> Records() const;

  /// When the latest write was acknowledged.
  LoadClock::time_point LastAcknowledged() const;

private:
  void Run();

  const LoadSettings& mSettings;
  const Address mProxy;
  const std::string mName;
  const bool mWithKeys;
  mutable std::mutex mMutex;
  std::vector<WriteRecord> mRecords;
  LoadClock::time_point mLastAcknowledged;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

}
