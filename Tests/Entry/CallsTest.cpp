#include <catch2/catch.hpp>

#include "Entry/InProgressLimit.h"
#include "Support/Fleet.h"

using namespace camphorstep;
using namespace camphorstep::testing;

namespace {

constexpr Duration kSettle = std::chrono::milliseconds(400);
const HostId kOtherHost = IdOf<HostId>("host-2");

/// An answer from a dispatcher on another host.
PeerMessageReceived
MakeAnswer(RequestId aId, std::uint32_t aAttempt, const std::string& aResult)
{
  ForwardAnswer answer;
  answer.mId = aId;
  answer.mAttempt = aAttempt;
  answer.mResult = aResult;
  return { kOtherHost, answer };
}

RequestId
IdOfCall(const SingleHost& aHost, std::uint64_t aCall)
{
  return aHost.mState.mEntry.mRequestOfCall.at(CallId{ aCall });
}

}

TEST_CASE("Answers out of order reach their own callers", "[Calls]")
{
  SingleHost host;
  host.Apply(host.MakeWrite(1, "put a 1"));
  host.ServeProbes(kSettle);
  host.Apply(host.MakeWrite(2, "put b 2"));
  const RequestId first = IdOfCall(host, 1);
  const RequestId second = IdOfCall(host, 2);
  host.Apply(MakeAnswer(second, 1, "of b"));
  const auto b = host.Take<AnswerCaller>();
  REQUIRE(b);
  CHECK(b->mAnswer.mCall == CallId{ 2 });
  CHECK(b->mAnswer.mResult == "of b");
  host.Apply(MakeAnswer(first, 1, "of a"));
  const auto a = host.Take<AnswerCaller>();
  REQUIRE(a);
  CHECK(a->mAnswer.mCall == CallId{ 1 });
  CHECK(a->mAnswer.mResult == "of a");
}

TEST_CASE("Answers that are late or for another attempt are dropped", "[Calls]")
{
  SingleHost host;
  host.Apply(host.MakeWrite(1, "put a 1"));
  host.ServeProbes(kSettle);
  const RequestId id = IdOfCall(host, 1);
  const std::uint64_t late = host.mState.mCounters.mLateAnswers;
  host.Apply(MakeAnswer(id, 2, "of another attempt"));
  host.Apply(MakeAnswer(RequestId{ 5, 5 }, 1, "of nobody's request"));
  CHECK_FALSE(host.Take<AnswerCaller>());
  host.Apply(MakeAnswer(id, 1, "right"));
  const auto answer = host.Take<AnswerCaller>();
  REQUIRE(answer);
  CHECK(answer->mAnswer.mResult == "right");
  host.Apply(MakeAnswer(id, 1, "twice"));
  CHECK_FALSE(host.Take<AnswerCaller>());
  CHECK(host.mState.mCounters.mLateAnswers == late + 3);
}

TEST_CASE("Rank limits never add up to more calls than the host has threads",
          "[Calls]")
{
  SingleHost host;
  auto& ranks = host.mState.mConfiguration.mCurrent.mRanks;
  ranks[IndexOf(Rank::Urgent)].mMaxInProgress = 100;
  ranks[IndexOf(Rank::Normal)].mMaxInProgress = 100;
  ranks[IndexOf(Rank::Background)].mMaxInProgress = 10'000;
  host.mState.mMaxCalls = 248;
  int sum = 0;
  for (const Rank rank : kRanks) {
    const int limit = InProgressLimit(host.mState, rank);
    CHECK(limit >= 1);
    sum += limit;
  }
  CHECK(sum <= host.mState.mMaxCalls);
  ranks[IndexOf(Rank::Background)].mMaxInProgress = 48;
  CHECK(InProgressLimit(host.mState, Rank::Urgent) == 100);
  CHECK(InProgressLimit(host.mState, Rank::Background) == 48);
}
