#include <deque>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "Dispatcher/ConcurrencyLimit.h"

using namespace camphorstep;

namespace {

constexpr int kSlots = 5;
constexpr Duration kStep = std::chrono::milliseconds(1);

/// Simulates, in virtual time, a server with slots and a queue that is kept
/// busy by dispatchers, each with its own concurrency limit.
class SharedServer
{
public:
  explicit SharedServer(Duration aServiceTime)
    : mServiceTime(aServiceTime)
  {
  }

  void AddDispatcher() { mDispatchers.emplace_back(); }

  void Advance(Duration aTime)
  {
    for (const Instant end = mNow + aTime; mNow < end; mNow += kStep) {
      Offer();
      Serve();
    }
  }

  int LimitAt(std::size_t aDispatcher) const
  {
    return LimitOf(mDispatchers[aDispatcher].mLimit, kSlots, true);
  }

  int LimitSum() const
  {
    int sum = 0;
    for (std::size_t n = 0; n < mDispatchers.size(); ++n) {
      sum += LimitAt(n);
    }
    return sum;
  }

  std::uint64_t mDone = 0;

private:
  struct Dispatcher
  {
    ConcurrencyLimit mLimit;
    int mRunning = 0;
  };

  struct Statement
  {
    std::size_t mDispatcher = 0;
    Instant mSentAt{};
    Instant mEnd{};
  };

  void Offer()
  {
    for (std::size_t n = 0; n < mDispatchers.size(); ++n) {
      while (mDispatchers[n].mRunning < LimitAt(n)) {
        ++mDispatchers[n].mRunning;
        mQueue.push_back({ n, mNow, {} });
      }
    }
  }

  void Serve()
  {
    while (!mQueue.empty() && mInSlots.size() < kSlots) {
      // Service times vary slightly in a repeating pattern.
      const Duration extra = mServiceTime * (mServed++ % 7) / 20;
      mQueue.front().mEnd = mNow + mServiceTime + extra;
      mInSlots.push_back(mQueue.front());
      mQueue.pop_front();
    }
    std::erase_if(mInSlots, [this](const Statement& aStatement) {
      if (aStatement.mEnd > mNow + kStep) {
        return false;
      }
      Dispatcher& dispatcher = mDispatchers[aStatement.mDispatcher];
      const bool saturated =
        dispatcher.mRunning >= LimitAt(aStatement.mDispatcher);
      --dispatcher.mRunning;
      NoteLatency(dispatcher.mLimit,
                  mNow + kStep,
                  mNow + kStep - aStatement.mSentAt,
                  saturated,
                  kSlots);
      ++mDone;
      return true;
    });
  }

  const Duration mServiceTime;
  Instant mNow{ std::chrono::seconds(1'000) };
  std::vector<Dispatcher> mDispatchers;
  std::deque<Statement> mQueue;
  std::vector<Statement> mInSlots;
  std::uint64_t mServed = 0;
};

}

TEST_CASE("A single dispatcher starts with a low limit and grows to all slots",
          "[Limit]")
{
  CHECK(rc::check("at any speed of the server", [] {
    const Duration serviceTime(*rc::gen::inRange(4'000, 40'000));
    SharedServer server(serviceTime);
    server.AddDispatcher();
    RC_ASSERT(server.LimitAt(0) < kSlots);
    server.Advance(std::chrono::seconds(5));
    RC_ASSERT(server.LimitAt(0) == kSlots);
    const std::uint64_t before = server.mDone;
    server.Advance(std::chrono::seconds(30));
    // A statement takes 1.15 times the service time on average.
    const double capacity = 30e6 * kSlots / (serviceTime.count() * 1.15 + 500);
    RC_ASSERT(static_cast<double>(server.mDone - before) > 0.9 * capacity);
  }));
}

TEST_CASE("Two dispatchers of one server do not overload it", "[Limit]")
{
  CHECK(rc::check("whenever the second one comes", [] {
    SharedServer server(Duration(*rc::gen::inRange(5'000, 30'000)));
    server.AddDispatcher();
    server.Advance(std::chrono::milliseconds(*rc::gen::inRange(0, 20'000)));
    server.AddDispatcher();
    server.Advance(std::chrono::seconds(40));
    int worst = 0;
    int sum = 0;
    constexpr int kSamples = 200;
    for (int n = 0; n < kSamples; ++n) {
      server.Advance(std::chrono::milliseconds(50));
      worst = std::max(worst, server.LimitSum());
      sum += server.LimitSum();
    }
    RC_ASSERT(worst <= kSlots + 3);
    RC_ASSERT(sum <= kSamples * (kSlots + 2));
    RC_ASSERT(server.LimitAt(0) >= 1 && server.LimitAt(1) >= 1);
  }));
}

TEST_CASE(
  "A burst of refusals lowers the limit once, and later ones lower it further",
  "[Limit]")
{
  ConcurrencyLimit limit;
  limit.mLimit = kSlots;
  Instant now{ std::chrono::seconds(1'000) };
  for (int n = 0; n < 10; ++n) {
    NoteRefusal(limit, now);
  }
  CHECK(LimitOf(limit, kSlots, true) == 3);
  for (int n = 0; n < 10; ++n) {
    now += std::chrono::milliseconds(60);
    NoteRefusal(limit, now);
  }
  CHECK(LimitOf(limit, kSlots, true) == 1);
  CHECK(LimitOf(limit, kSlots, false) == kSlots);
  ResetLimit(limit);
  CHECK(LimitOf(limit, kSlots, true) < kSlots);
}
