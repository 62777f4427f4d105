#include <catch2/catch.hpp>

#include "Support/Fleet.h"

using namespace camphorstep;
using namespace camphorstep::testing;

namespace {

constexpr Duration kProbeTime = std::chrono::milliseconds(400);

}

TEST_CASE("A write goes to the primary and its answer to the caller", "[Step]")
{
  SingleHost host;
  host.Apply(host.MakeWrite(1, "put a 1"));
  host.ServeProbes(kProbeTime);
  const auto sent = host.TakeStatement();
  REQUIRE(sent);
  CHECK(sent->mRequest.mText == "put a 1");
  host.Reply(*sent, ServerStatus::Ok, "1");
  const auto answer = host.Take<AnswerCaller>();
  REQUIRE(answer);
  CHECK(answer->mAnswer.mCall == CallId{ 1 });
  CHECK(answer->mAnswer.mOutcome == Outcome::Done);
  CHECK(answer->mAnswer.mResult == "1");
}

TEST_CASE("A write on a lost connection is unknown and not sent again",
          "[Step]")
{
  SingleHost host;
  host.Apply(host.MakeWrite(1, "put a 1"));
  host.ServeProbes(kProbeTime);
  const auto sent = host.TakeStatement();
  REQUIRE(sent);
  host.Apply(ServerDisconnected{ sent->mConnection });
  const auto answer = host.Take<AnswerCaller>();
  REQUIRE(answer);
  CHECK(answer->mAnswer.mOutcome == Outcome::Unknown);
  CHECK(answer->mAnswer.mCode == ResultCode::ConnectionLost);
  host.ServeProbes(kProbeTime);
  CHECK_FALSE(host.TakeStatement());
}

TEST_CASE("An answer that is repeated or for another request is dropped",
          "[Step]")
{
  SingleHost host;
  host.Apply(host.MakeWrite(1, "put a 1"));
  host.ServeProbes(kProbeTime);
  const auto first = host.TakeStatement();
  REQUIRE(first);
  host.Reply(*first, ServerStatus::Ok, "1");
  REQUIRE(host.Take<AnswerCaller>());
  host.Apply(host.MakeWrite(2, "put b 2"));
  const auto second = host.TakeStatement();
  REQUIRE(second);
  host.Reply(*first, ServerStatus::Ok, "stale");
  CHECK_FALSE(host.Take<AnswerCaller>());
  host.Reply(*second, ServerStatus::Ok, "2");
  const auto answer = host.Take<AnswerCaller>();
  REQUIRE(answer);
  CHECK(answer->mAnswer.mResult == "2");
}

TEST_CASE("A request that no server can take is not run at its deadline",
          "[Step]")
{
  SingleHost host;
  CallerRequest request = host.MakeWrite(1, "put a 1");
  request.mDeadline = std::chrono::milliseconds(200);
  host.Apply(request);
  host.Advance(std::chrono::seconds(1));
  const auto answer = host.Take<AnswerCaller>();
  REQUIRE(answer);
  CHECK(answer->mAnswer.mOutcome == Outcome::NotRun);
  CHECK(answer->mAnswer.mCode == ResultCode::NoPrimary);
}
