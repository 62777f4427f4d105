#include <catch2/catch.hpp>

#include "Support/Fleet.h"

using namespace camphorstep;
using namespace camphorstep::testing;

namespace {

constexpr Duration kProbeTime = std::chrono::milliseconds(400);
/// Longer than the notice delay and the answer flush delay together.
constexpr Duration kIdleStopTime = std::chrono::milliseconds(2'600);

/// Answers the statement in progress and returns the caller's answer.
CallerAnswer
Complete(SingleHost& aHost)
{
  const auto sent = aHost.TakeStatement();
  REQUIRE(sent);
  aHost.Reply(*sent, ServerStatus::Ok, "1");
  const auto answer = aHost.Take<AnswerCaller>();
  REQUIRE(answer);
  return answer->mAnswer;
}

CallerRequest
InTransaction(SingleHost& aHost,
              std::uint64_t aCall,
              CallerOperation aOperation,
              const std::string& aHandle)
{
  CallerRequest request = aHost.MakeWrite(aCall, "put a 1");
  request.mOperation = aOperation;
  request.mTransaction = aHandle;
  return request;
}

}

TEST_CASE("A stopping host keeps serving during the notice, then refuses",
          "[Stopping]")
{
  SingleHost host;
  host.Apply(host.MakeWrite(1, "put a 1"));
  host.ServeProbes(kProbeTime);
  host.Apply(StopRequested{});
  CHECK(Complete(host).mOutcome == Outcome::Done);
  host.Apply(host.MakeWrite(2, "put b 1"));
  CHECK(Complete(host).mOutcome == Outcome::Done);
  host.ServeProbes(std::chrono::seconds(2));
  CHECK_FALSE(host.Take<StopComplete>());
  host.Apply(host.MakeWrite(3, "put c 1"));
  const auto refused = host.Take<AnswerCaller>();
  REQUIRE(refused);
  CHECK(refused->mAnswer.mCode == ResultCode::Stopping);
  CHECK(refused->mAnswer.mOutcome == Outcome::NotRun);
  host.ServeProbes(kIdleStopTime);
  CHECK(host.Take<StopComplete>());
}

TEST_CASE("A stop at any stage of a transaction lets it commit", "[Stopping]")
{
  enum class Stage : std::uint8_t
  {
    Beginning,
    Open,
    Running,
    Committing
  };
  const Stage stage =
    GENERATE(Stage::Beginning, Stage::Open, Stage::Running, Stage::Committing);
  SingleHost host;
  const auto stopAt = [&](Stage aStage) {
    if (stage == aStage) {
      host.Apply(StopRequested{});
      host.ServeProbes(kIdleStopTime);
      CHECK_FALSE(host.Take<StopComplete>());
    }
  };
  CallerRequest begin = host.MakeWrite(1, "");
  begin.mOperation = CallerOperation::Begin;
  begin.mDeadline = std::chrono::seconds(60);
  host.Apply(begin);
  host.ServeProbes(kProbeTime);
  stopAt(Stage::Beginning);
  std::string handle = Complete(host).mTransaction;
  stopAt(Stage::Open);
  host.Apply(InTransaction(host, 2, CallerOperation::Run, handle));
  stopAt(Stage::Running);
  handle = Complete(host).mTransaction;
  host.Apply(InTransaction(host, 3, CallerOperation::Commit, handle));
  stopAt(Stage::Committing);
  CHECK(Complete(host).mOutcome == Outcome::Done);
  host.ServeProbes(kIdleStopTime);
  CHECK(host.Take<StopComplete>());
}

TEST_CASE("A stop ends at its time limit and reports unknown outcomes",
          "[Stopping]")
{
  SingleHost host;
  host.mState.mStop.mTimeout = std::chrono::seconds(3);
  CallerRequest write = host.MakeWrite(1, "put a 1");
  write.mDeadline = std::chrono::seconds(60);
  host.Apply(write);
  host.ServeProbes(kProbeTime);
  REQUIRE(host.TakeStatement());
  host.Apply(StopRequested{});
  host.ServeProbes(std::chrono::milliseconds(2'900));
  CHECK_FALSE(host.Take<AnswerCaller>());
  host.ServeProbes(std::chrono::milliseconds(500));
  const auto answer = host.Take<AnswerCaller>();
  REQUIRE(answer);
  CHECK(answer->mAnswer.mOutcome == Outcome::Unknown);
  CHECK(answer->mAnswer.mCode == ResultCode::Stopping);
  CHECK(host.Take<StopComplete>());
}
