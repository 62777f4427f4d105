#include <catch2/catch.hpp>

#include "Entry/Intake.h"
#include "Support/Fleet.h"

using namespace camphorstep;
using namespace camphorstep::testing;

namespace {

constexpr Duration kSettle = std::chrono::milliseconds(400);
const ServerId kPrimary = IdOf<ServerId>("records-1");

/// Takes the next answer to a caller, if there is one.
std::optional<CallerAnswer>
TakeRefusal(SingleHost& aHost)
{
  const auto answer = aHost.Take<AnswerCaller>();
  return answer ? std::optional(answer->mAnswer) : std::nullopt;
}

/// Sends more requests than the server can serve, so that its dispatcher
/// reduces the admission window. Returns the last call's number.
std::uint64_t
Overload(SingleHost& aHost)
{
  aHost.Apply(aHost.MakeWrite(1, "put a 1"));
  aHost.ServeProbes(kSettle);
  std::uint64_t call = 1;
  for (int n = 0; n < 40; ++n) {
    aHost.Apply(aHost.MakeWrite(++call, "put a 1"));
  }
  aHost.ServeProbes(kSettle);
  return call;
}

/// Answers statements sent to the server until there are no more.
void
ServeAll(SingleHost& aHost)
{
  while (const auto sent = aHost.TakeStatement()) {
    aHost.mNow += std::chrono::milliseconds(1);
    aHost.Reply(*sent, ServerStatus::Ok);
  }
}

}

TEST_CASE("A rank with long waits is refused at the entry with a retry hint",
          "[Intake]")
{
  SingleHost host;
  std::uint64_t call = Overload(host);
  while (TakeRefusal(host)) {
  }
  host.Apply(host.MakeWrite(++call, "put b 1"));
  const auto refusal = TakeRefusal(host);
  REQUIRE(refusal);
  CHECK(refusal->mCall == CallId{ call });
  CHECK(refusal->mCode == ResultCode::Overloaded);
  CHECK(refusal->mOutcome == Outcome::NotRun);
  CHECK(refusal->mRetryAfter >= std::chrono::milliseconds(100));
  CHECK(refusal->mRetryAfter <= std::chrono::milliseconds(300));
  const auto closed = host.Take<SetIntake>();
  REQUIRE(closed);
  CHECK(closed->mClosed);
  CHECK(closed->mClass.mNeedsPrimary);

  // Once the queue is empty, the shell is notified and calls are accepted
  // again.
  ServeAll(host);
  host.ServeProbes(kSettle);
  ServeAll(host);
  const auto reopened = host.Take<SetIntake>();
  REQUIRE(reopened);
  CHECK_FALSE(reopened->mClosed);
  CHECK(host.mState.mEntry.mClosed.empty());
  host.Apply(host.MakeWrite(++call, "put c 1"));
  CHECK(host.TakeStatement());
}

TEST_CASE("Every way a request ends reduces the in-flight count", "[Intake]")
{
  SingleHost host;
  std::uint64_t call = Overload(host);
  host.Apply(CallerGone{ CallId{ call } });
  ServeAll(host);
  host.Advance(std::chrono::seconds(10));
  const auto& intake = host.mState.mEntry.mIntake.at(kPrimary);
  for (const RankUse& use : intake.mRanks) {
    CHECK(use.mInFlight == 0);
    CHECK(use.mInFlightByService.empty());
  }
}

TEST_CASE("A full admission window leaves room for other services of the rank",
          "[Intake]")
{
  State state;
  ServerIntake& intake = state.mEntry.mIntake[kPrimary];
  const Instant now{ std::chrono::seconds(1'000) };
  intake.mReceivedAt = now;
  RankUse& use = intake.mRanks[IndexOf(Rank::Normal)];
  use.mIntake.mWindow = 4;
  use.mInFlight = 4;
  use.mInFlightByService["greedy"] = 4;
  CHECK_FALSE(HasRoom(state, now, Rank::Normal, "greedy", kPrimary));
  CHECK(HasRoom(state, now, Rank::Normal, "modest", kPrimary));
  CHECK(HasRoom(state, now, Rank::Urgent, "greedy", kPrimary));
  use.mInFlightByService["modest"] = 2;
  use.mInFlight = 6;
  CHECK_FALSE(HasRoom(state, now, Rank::Normal, "modest", kPrimary));
  // A window that was reported too long ago does not apply.
  const Instant later = now + std::chrono::seconds(1);
  CHECK(HasRoom(state, later, Rank::Normal, "greedy", kPrimary));
  state.mConfiguration.mCurrent.mPolicy.mEntryRefusal = false;
  CHECK(HasRoom(state, now, Rank::Normal, "greedy", kPrimary));
}
