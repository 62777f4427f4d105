#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "Entry/RetryBudget.h"

using namespace camphorstep;

TEST_CASE("Retries stay within the budget of the service", "[Retries]")
{
  CHECK(rc::check("whatever the share of failures", [] {
    PendingRequest pending;
    pending.mCaller.mService = "technicians";
    pending.mProfile.mRetry.mBudgetPercent = *rc::gen::inRange(0, 30);
    const int failingPercent = *rc::gen::inRange(0, 101);
    EntryState entry;
    int retries = 0;
    constexpr int kRequests = 1'000;
    for (int n = 0; n < kRequests; ++n) {
      EarnRetryBudget(entry, pending);
      // A failing request retries as often as the budget allows, up to 3 times.
      const bool fails = n * 7 % 100 < failingPercent;
      for (int m = 0; fails && m < 3 && HasRetryBudget(entry, pending); ++m) {
        SpendRetryBudget(entry, pending);
        ++retries;
      }
    }
    RC_ASSERT(retries <=
              kRequests * pending.mProfile.mRetry.mBudgetPercent / 100 + 10);
  }));
}

TEST_CASE("One service's retries do not use up another's budget", "[Retries]")
{
  EntryState entry;
  PendingRequest first;
  first.mCaller.mService = "technicians";
  PendingRequest second;
  second.mCaller.mService = "inspectors";
  for (int n = 0; n < 20; ++n) {
    EarnRetryBudget(entry, first);
    EarnRetryBudget(entry, second);
  }
  while (HasRetryBudget(entry, first)) {
    SpendRetryBudget(entry, first);
  }
  CHECK(HasRetryBudget(entry, second));
}

TEST_CASE("Retry delays double up to the limit and differ between requests",
          "[Retries]")
{
  PendingRequest pending;
  pending.mProfile.mRetry.mInitialDelay = std::chrono::milliseconds(20);
  pending.mProfile.mRetry.mMaxDelay = std::chrono::milliseconds(100);
  std::set<Duration> seen;
  for (std::uint64_t n = 0; n < 100; ++n) {
    pending.mAttempts = 1;
    const Duration first = RetryDelay(RequestId{ 7, n }, pending);
    CHECK(first >= std::chrono::milliseconds(10));
    CHECK(first <= std::chrono::milliseconds(20));
    pending.mAttempts = 9;
    const Duration late = RetryDelay(RequestId{ 7, n }, pending);
    CHECK(late >= std::chrono::milliseconds(50));
    CHECK(late <= std::chrono::milliseconds(100));
    seen.insert(first);
  }
  CHECK(seen.size() > 50);
}
