#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <random>

namespace camphorstep {

/// What becomes of the answer to one operation.
enum class AnswerFate : std::uint8_t
{
  Given,
  /// The connection ends before the operation takes effect.
  LostBefore,
  /// The connection ends after the operation has taken effect.
  LostAfter
};

/// Behaviour of the stand-in platform that tests change while it runs.
class PlatformFaults
{
public:
  std::atomic<bool> mDown{ false };
  /// How long each operation takes, half of it before its effect.
  std::atomic<std::int64_t> mSlowMs{ 0 };
  std::atomic<int> mLostBeforePercent{ 0 };
  std::atomic<int> mLostAfterPercent{ 0 };
  std::atomic<std::int64_t> mHostsLagMs{ 0 };

  /// Starts the random choices anew.
  void Seed(std::uint64_t aSeed)
  {
    const std::lock_guard lock(mMutex);
    mRandom.seed(aSeed);
  }

  /// Draws the fate of one operation's answer.
  AnswerFate DrawFate()
  {
    constexpr int kHundred = 100;
    const std::lock_guard lock(mMutex);
    const int draw =
      std::uniform_int_distribution<int>(0, kHundred - 1)(mRandom);
    if (mDown || draw < mLostBeforePercent) {
      return AnswerFate::LostBefore;
    }
    return draw < mLostBeforePercent + mLostAfterPercent ? AnswerFate::LostAfter
                                                         : AnswerFate::Given;
  }

private:
  std::mutex mMutex;
  std::mt19937_64 mRandom{ 1 };
};

}
