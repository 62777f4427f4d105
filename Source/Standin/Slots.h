#pragma once

#include <condition_variable>
#include <mutex>

namespace camphorstep {

/// The slots in which a server runs statements. Statements beyond them wait,
/// up to a limit.
class Slots
{
public:
  Slots(int aSlots, int aMaxWaiting)
    : mFree(aSlots)
    , mMaxWaiting(aMaxWaiting)
  {
  }

  /// Takes a slot, waiting for one if need be; false if too many wait.
  bool Acquire()
  {
    std::unique_lock lock(mMutex);
    if (mFree == 0 && mWaiting >= mMaxWaiting) {
      return false;
    }
    ++mWaiting;
    mFreed.wait(lock, [this] { return mFree > 0; });
    --mWaiting;
    --mFree;
    return true;
  }

  void Release()
  {
    const std::lock_guard lock(mMutex);
    ++mFree;
    mFreed.notify_one();
  }

private:
  std::mutex mMutex;
  std::condition_variable mFreed;
  int mFree;
  int mWaiting = 0;
  const int mMaxWaiting;
};

}
