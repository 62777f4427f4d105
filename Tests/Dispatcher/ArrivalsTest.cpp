#include <catch2/catch.hpp>

#include "Support/Fleet.h"

using namespace camphorstep;
using namespace camphorstep::testing;

namespace {

constexpr Duration kSettle = std::chrono::milliseconds(400);
const ServerId kReplica = IdOf<ServerId>("records-2");

ForwardRequest
MakeRead(Position aNeeded)
{
  ForwardRequest request;
  request.mId = RequestId{ 99, 1 };
  request.mAttempt = 1;
  request.mServer = kReplica;
  request.mText = "get a";
  request.mService = "technicians";
  request.mMinPosition = aNeeded;
  request.mReplicaWait = std::chrono::milliseconds(50);
  request.mTimeLeft = std::chrono::seconds(5);
  return request;
}

/// Makes the host's servers known, then delivers a read from another host that
/// needs a position that the replica has not applied.
void
ForwardRead(SingleHost& aHost)
{
  aHost.Apply(aHost.MakeWrite(1, "put a 1"));
  aHost.ServeProbes(kSettle);
  REQUIRE(aHost.TakeStatement());
  const Position needed{ 1, aHost.mPosition.mIndex + 1 };
  aHost.Apply(PeerMessageReceived{ IdOf<HostId>("host-2"), MakeRead(needed) });
}

}

TEST_CASE("A read waits for its position without slot or connection",
          "[Arrivals]")
{
  SingleHost host;
  ForwardRead(host);
  CHECK_FALSE(host.TakeStatement());
  CHECK(host.mState.mDispatcher.mServers.at(kReplica).mRunning == 0);
  host.mPosition.mIndex += 1;
  host.ServeProbes(std::chrono::milliseconds(30));
  const auto sent = host.TakeStatement();
  REQUIRE(sent);
  CHECK(sent->mRequest.mText == "get a");
}

TEST_CASE("A read whose replica does not catch up in time is not run",
          "[Arrivals]")
{
  SingleHost host;
  ForwardRead(host);
  host.ServeProbes(std::chrono::milliseconds(100));
  CHECK_FALSE(host.TakeStatement());
  bool refused = false;
  while (const auto sent = host.Take<SendToPeer>()) {
    if (const auto* const answer =
          std::get_if<ForwardAnswer>(&sent->mMessage)) {
      CHECK(answer->mCode == ResultCode::ReplicaBehind);
      CHECK(answer->mOutcome == Outcome::NotRun);
      refused = true;
    }
  }
  CHECK(refused);
}
