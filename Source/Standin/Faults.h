#pragma once

#include <atomic>
#include <cstdint>

#include "Common/Time.h"

namespace camphorstep {

/// Behaviour of the stand-in server that tests change while it runs.
struct Faults
{
  /// Drops everything that comes in or would go out, without closing.
  std::atomic<bool> mCutOff{ false };
  /// Closes all connections and refuses new ones, as if the host were gone.
  std::atomic<bool> mDown{ false };
  /// Connections numbered up to this one have gone silent for good.
  std::atomic<std::uint64_t> mSilentUpTo{ 0 };
  /// Holds everything up, as if the process were frozen.
  std::atomic<bool> mPaused{ false };
  /// How long a replica waits before it applies what it has logged.
  std::atomic<std::int64_t> mLagMicros{ 0 };
  /// How long a statement holds its slot.
  std::atomic<std::int64_t> mStatementMicros{ 0 };

  /// Waits while the server is paused.
  void WaitWhilePaused() const;

  /// Whether traffic of a connection disappears.
  bool IsSilent(std::uint64_t aConnection) const
  {
    return mCutOff || aConnection <= mSilentUpTo;
  }
};

/// Sleeps for a duration.
void SleepFor(Duration aDuration);

}
