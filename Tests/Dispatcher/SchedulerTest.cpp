#include <array>
#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "Dispatcher/Queue.h"
#include "Dispatcher/Scheduler.h"

using namespace camphorstep;

namespace {

constexpr Duration kStatement = std::chrono::milliseconds(10);
constexpr int kSlots = 5;
const HostId kOrigin = IdOf<HostId>("host-1");

Configuration
MakeConfiguration()
{
  Configuration configuration;
  configuration.mRanks[0].mReservedPercent = 40;
  configuration.mRanks[1].mReservedPercent = 20;
  configuration.mRanks[2].mReservedPercent = 10;
  return configuration;
}

/// A dispatcher's queue for a simulated server whose statements all take the
/// same time.
class VirtualServer
{
public:
  EnqueueResult Offer(Rank aRank,
                      const std::string& aService,
                      Duration aTimeLeft = std::chrono::seconds(5))
  {
    QueuedRequest queued;
    queued.mRequest.mId = RequestId{ 1, ++mLastId };
    queued.mRequest.mRank = aRank;
    queued.mRequest.mService = aService;
    queued.mOrigin = kOrigin;
    queued.mArrivedAt = mNow;
    queued.mDeadline = mNow + aTimeLeft;
    return Enqueue(
      mDispatch, mConfiguration.mRanks[IndexOf(aRank)], kSlots, queued);
  }

  /// Starts the requests that can run and advances the time by one millisecond.
  void Advance()
  {
    for (bool more = true; more;) {
      Choice choice =
        ChooseNext(mDispatch.mScheduler,
                   mConfiguration,
                   { kSlots, static_cast<int>(mRunning.size()), true },
                   mNow);
      mUnmeetable += choice.mUnmeetable.size();
      more = choice.mNext.has_value();
      if (more) {
        mRunning.emplace(mNow + kStatement, std::move(*choice.mNext));
      }
    }
    mNow += std::chrono::milliseconds(1);
    while (!mRunning.empty() && mRunning.begin()->first <= mNow) {
      const QueuedRequest done = mRunning.begin()->second;
      mRunning.erase(mRunning.begin());
      SettleCharge(mDispatch.mScheduler, mConfiguration, done, kStatement);
      ++mDone[IndexOf(done.mRequest.mRank)];
      ++mDoneByService[done.mRequest.mService];
    }
  }

  Configuration mConfiguration = MakeConfiguration();
  ServerDispatch mDispatch;
  Instant mNow{ std::chrono::seconds(1'000) };
  std::multimap<Instant, QueuedRequest> mRunning;
  std::array<int, kRankCount> mDone{};
  std::map<std::string, int> mDoneByService;
  std::size_t mUnmeetable = 0;
  std::uint64_t mLastId = 0;
};

/// The number of statements that the slots complete in the given time.
int
CapacityIn(int aMilliseconds)
{
  return kSlots * aMilliseconds / static_cast<int>(kStatement.count() / 1'000);
}

}

TEST_CASE("Every rank keeps the smaller of its offer and its reserved share",
          "[Scheduler]")
{
  constexpr int kMilliseconds = 4'000;
  CHECK(rc::check("whatever the ranks offer", [] {
    std::array<int, kRankCount> perTick{};
    for (int& offered : perTick) {
      // Requests in ten milliseconds; the server completes five.
      offered = *rc::gen::inRange(0, 20);
    }
    VirtualServer server;
    std::array<int, kRankCount> offered{};
    for (int n = 0; n < kMilliseconds; ++n) {
      for (const Rank rank : kRanks) {
        const int due = perTick[IndexOf(rank)] * (n + 1) / 10;
        for (; offered[IndexOf(rank)] < due; ++offered[IndexOf(rank)]) {
          server.Offer(rank, "service");
        }
      }
      server.Advance();
    }
    const int capacity = CapacityIn(kMilliseconds);
    int done = 0;
    int total = 0;
    for (const Rank rank : kRanks) {
      const std::size_t at = IndexOf(rank);
      const int reserved =
        capacity * server.mConfiguration.mRanks[at].mReservedPercent / 100;
      const int due = std::min(offered[at], reserved);
      RC_ASSERT(server.mDone[at] >= due * 95 / 100 - kSlots);
      done += server.mDone[at];
      total += offered[at];
    }
    // Slots stay idle only because of paced starts while requests wait.
    RC_ASSERT(done >= std::min(total, capacity) * 90 / 100 - 2 * kSlots);
  }));
}

TEST_CASE("A flood of the least urgent rank hardly delays an urgent request",
          "[Scheduler]")
{
  VirtualServer server;
  Duration worst{ 0 };
  for (int n = 0; n < 5'000; ++n) {
    server.Offer(Rank::Background, "flood");
    server.Offer(Rank::Background, "flood");
    if (n % 7 == 0) {
      server.Offer(Rank::Urgent, "urgent");
    }
    server.Advance();
    for (const auto& [end, request] : server.mRunning) {
      if (request.mRequest.mRank == Rank::Urgent) {
        worst = std::max(worst, end - kStatement - request.mArrivedAt);
      }
    }
  }
  CHECK(server.mDone[IndexOf(Rank::Urgent)] >= 5'000 / 7 - 2);
  CHECK(worst <= kStatement / 2);
}

TEST_CASE("Services of a rank share it, however much one of them offers",
          "[Scheduler]")
{
  VirtualServer server;
  for (int n = 0; n < 2'000; ++n) {
    for (int m = 0; m < 5; ++m) {
      server.Offer(Rank::Normal, "greedy");
    }
    if (n % 4 == 0) {
      server.Offer(Rank::Normal, "modest");
    }
    server.Advance();
  }
  // The modest service offers half of the capacity, which is its fair share.
  CHECK(server.mDoneByService["modest"] >= 480);
  CHECK(server.mDoneByService["greedy"] >= 450);
}

TEST_CASE("A full queue sheds from the service that fills it", "[Scheduler]")
{
  VirtualServer server;
  server.mConfiguration.mRanks[IndexOf(Rank::Normal)].mMaxQueued = 4;
  for (int n = 0; n < 4; ++n) {
    CHECK(server.Offer(Rank::Normal, "greedy").mCode == ResultCode::Ok);
  }
  CHECK(server.Offer(Rank::Normal, "greedy").mCode == ResultCode::Overloaded);
  const EnqueueResult result = server.Offer(Rank::Normal, "modest");
  CHECK(result.mCode == ResultCode::Ok);
  REQUIRE(result.mShed);
  CHECK(result.mShed->mRequest.mService == "greedy");
  CHECK(result.mShed->mRequest.mId.mSequence == 4);
  CHECK(CountQueued(server.mDispatch) == 4);
}

TEST_CASE("A request that cannot meet its deadline uses no slot", "[Scheduler]")
{
  VirtualServer server;
  for (int n = 0; n < 100; ++n) {
    server.Offer(Rank::Normal, "service");
    server.Advance();
  }
  const auto tooShort = std::chrono::milliseconds(2);
  CHECK(server.Offer(Rank::Normal, "service", tooShort).mCode ==
        ResultCode::DeadlineExceeded);
  // Queued in time, but its deadline passes while it waits.
  for (int n = 0; n < 40; ++n) {
    server.Offer(Rank::Urgent, "urgent");
  }
  const auto enough = std::chrono::milliseconds(30);
  CHECK(server.Offer(Rank::Background, "late", enough).mCode == ResultCode::Ok);
  server.mConfiguration.mRanks[IndexOf(Rank::Background)].mReservedPercent = 0;
  server.mDispatch.mScheduler.mRanks[IndexOf(Rank::Background)].mCredit =
    Duration{ 0 };
  for (int n = 0; n < 200; ++n) {
    server.Advance();
  }
  CHECK(server.mUnmeetable == 1);
  CHECK(server.mDoneByService["late"] == 0);
}

TEST_CASE("The baseline runs requests in the order of arrival", "[Scheduler]")
{
  VirtualServer server;
  server.mConfiguration.mPolicy.mScheduling = Scheduling::ArrivalOrder;
  for (int n = 0; n < 20; ++n) {
    server.Offer(Rank::Background, "flood");
  }
  server.mNow += std::chrono::microseconds(1);
  server.Offer(Rank::Urgent, "urgent");
  for (int n = 0; n < 41; ++n) {
    server.Advance();
  }
  CHECK(server.mDone[IndexOf(Rank::Background)] == 20);
  CHECK(server.mDone[IndexOf(Rank::Urgent)] == 0);
}
