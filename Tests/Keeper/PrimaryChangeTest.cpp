#include <catch2/catch.hpp>

#include <algorithm>

#include "Keeper/Lease.h"
#include "Support/Cluster.h"
#include "Support/Workload.h"

using namespace camphorstep;
using namespace camphorstep::testing;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 11;
/// Long enough for a change of primary by any host.
constexpr Duration kChangeTime = seconds(3);

CallerRequest
MakeRequest(const std::string& aText, bool aWrite)
{
  CallerRequest request;
  request.mService = aWrite ? "technicians" : "inspectors";
  request.mDatabase = "records";
  request.mText = aText;
  request.mWrite = aWrite;
  request.mDeadline = seconds(4);
  return request;
}

/// Makes a write that is acknowledged without replication.
CallerRequest
MakePlainWrite(const std::string& aText)
{
  CallerRequest request = MakeRequest(aText, true);
  request.mService = "inspectors";
  return request;
}

const GivenAnswer*
FindAnswer(const Cluster& aCluster, std::size_t aHost, CallId aCall)
{
  const auto it = std::find_if(aCluster.mAnswers.begin(),
                               aCluster.mAnswers.end(),
                               [&](const GivenAnswer& aGiven) {
                                 return aGiven.mHost == aHost &&
                                        aGiven.mAnswer.mCall == aCall;
                               });
  return it == aCluster.mAnswers.end() ? nullptr : &*it;
}

/// Makes a request through a host and returns its answer.
CallerAnswer
Execute(Cluster& aCluster, std::size_t aHost, const CallerRequest& aRequest)
{
  const CallId call = aCluster.Call(aHost, aRequest);
  aCluster.Advance(seconds(5));
  const GivenAnswer* const given = FindAnswer(aCluster, aHost, call);
  REQUIRE(given != nullptr);
  return given->mAnswer;
}

bool
IsLogged(const Cluster& aCluster, std::size_t aServer, const std::string& aText)
{
  const std::vector<LogEntry> log = aCluster.Log(aServer);
  return std::any_of(log.begin(), log.end(), [&](const LogEntry& aEntry) {
    return std::find(aEntry.mStatements.begin(),
                     aEntry.mStatements.end(),
                     aText) != aEntry.mStatements.end();
  });
}

/// Runs the workload for a second, so that hosts hold leases and views.
void
WarmUp(Cluster& aCluster)
{
  Workload workload(aCluster);
  workload.Run(seconds(1));
  aCluster.Advance(milliseconds(100));
}

/// Heals the cluster and checks that the group accepts a write and that every
/// term had exactly one primary.
void
RequireHealthy(Cluster& aCluster)
{
  aCluster.Heal();
  aCluster.Advance(seconds(6));
  CHECK(Execute(aCluster, 0, MakeRequest("put healthy 1", true)).mOutcome ==
        Outcome::Done);
  for (const auto& [term, servers] : aCluster.mPrimaries) {
    CHECK(servers.size() == 1);
  }
}

}

TEST_CASE("An isolated primary and its host stop answering before a successor "
          "starts to",
          "[Keeper]")
{
  const std::size_t host = GENERATE(0, 1, 2);
  Cluster cluster(kSeed + host);
  WarmUp(cluster);
  cluster.Isolate(0, host);
  Workload workload(cluster);
  workload.Run(kChangeTime);
  REQUIRE(cluster.Primary() != 0U);
  cluster.Heal();
  cluster.Advance(seconds(6));
  CHECK(workload.Check() == std::vector<std::string>{});
}

TEST_CASE(
  "A primary that only its lease holder reaches stops answering once fenced",
  "[Keeper]")
{
  const std::size_t host = GENERATE(0, 1, 2);
  Cluster cluster(kSeed + host);
  WarmUp(cluster);
  cluster.Shun(0, host);
  Workload workload(cluster);
  workload.Run(kChangeTime);
  REQUIRE(cluster.Primary() != 0U);
  cluster.Heal();
  cluster.Advance(seconds(6));
  CHECK(workload.Check() == std::vector<std::string>{});
}

TEST_CASE(
  "A lease renewed just before the fence expires before a successor answers",
  "[Keeper]")
{
  const std::size_t host = GENERATE(0, 1, 2);
  Cluster cluster(kSeed + host);
  WarmUp(cluster);
  cluster.Shun(0, host);
  cluster.mOnRequest = [&](std::size_t, const ServerRequest& aRequest) {
    if (aRequest.mOperation == ServerOperation::Fence) {
      cluster.Isolate(0, host);
    }
    return true;
  };
  Workload workload(cluster);
  workload.Run(kChangeTime);
  REQUIRE(cluster.Primary() != 0U);
  cluster.Heal();
  cluster.Advance(seconds(6));
  CHECK(workload.Check() == std::vector<std::string>{});
}

TEST_CASE("No server is promoted while only a minority is fenced", "[Keeper]")
{
  Cluster cluster(kSeed);
  WarmUp(cluster);
  cluster.SetReplicationCut(2, true);
  REQUIRE(Execute(cluster, 0, MakeRequest("put kept 1", true)).mOutcome ==
          Outcome::Done);
  REQUIRE_FALSE(IsLogged(cluster, 2, "put kept 1"));
  cluster.mOnRequest = [](std::size_t aServer, const ServerRequest& aRequest) {
    return aServer != 1 || aRequest.mOperation != ServerOperation::Fence;
  };
  cluster.Call(0, MakeRequest("put more 1", true));
  cluster.SetCutOff(0, true);
  Workload workload(cluster);
  workload.Run(kChangeTime + seconds(2));
  CHECK(cluster.mPrimaries.size() == 1);
  cluster.mOnRequest = nullptr;
  workload.Run(kChangeTime + seconds(2));
  REQUIRE(cluster.Primary() == 1U);
  CHECK(IsLogged(cluster, 1, "put kept 1"));
}

TEST_CASE("A server that returns to an idle group catches up", "[Keeper]")
{
  Cluster cluster(kSeed);
  WarmUp(cluster);
  cluster.SetDown(0, true);
  CHECK(Execute(cluster, 1, MakeRequest("put new 1", true)).mOutcome ==
        Outcome::Done);
  cluster.Advance(seconds(10));
  cluster.SetDown(0, false);
  cluster.Advance(seconds(2));
  CHECK(IsLogged(cluster, 0, "put new 1"));
}

TEST_CASE("A lost write is not acknowledged after a pause beyond the lease",
          "[Keeper]")
{
  Cluster cluster(kSeed);
  WarmUp(cluster);
  const std::size_t host = GENERATE(0, 1, 2);
  // All answers are delivered; the host is paused after the write has run.
  bool ran = false;
  cluster.mOnReply = [&](std::size_t, const ServerRequest& aRequest) {
    ran = ran || aRequest.mText == "put late 1";
    return true;
  };
  const CallId call = cluster.Call(host, MakePlainWrite("put late 1"));
  while (!ran) {
    cluster.Advance(milliseconds(2));
  }
  // The pause starts at each stage between server and caller in turn.
  cluster.Advance(milliseconds(GENERATE(2, 4, 6, 8, 10, 12, 14, 16)));
  const bool given = FindAnswer(cluster, host, call) != nullptr;
  cluster.PauseHost(host, kChangeTime);
  cluster.SetCutOff(0, true);
  cluster.Call((host + 1) % 3, MakeRequest("put next 1", true));
  cluster.Advance(kChangeTime + seconds(3));
  const GivenAnswer* const answer = FindAnswer(cluster, host, call);
  REQUIRE(answer != nullptr);
  const bool acknowledged = answer->mAnswer.mOutcome == Outcome::Done;
  CHECK((given || !acknowledged ||
         IsLogged(cluster, cluster.Primary().value(), "put late 1")));
  RequireHealthy(cluster);
}

TEST_CASE("A replicated write is unknown while no second server logs it",
          "[Keeper]")
{
  Cluster cluster(kSeed);
  WarmUp(cluster);
  cluster.SetReplicationCut(0, true);
  const CallerAnswer alone =
    Execute(cluster, 0, MakeRequest("put alone 1", true));
  CHECK(alone.mOutcome == Outcome::Unknown);
  CHECK(alone.mCode == ResultCode::NotReplicated);
  CHECK(Execute(cluster, 0, MakePlainWrite("put plain 1")).mOutcome ==
        Outcome::Done);
  RequireHealthy(cluster);
}

TEST_CASE("An old primary that returns with extra log does not take over",
          "[Keeper]")
{
  Cluster cluster(kSeed);
  WarmUp(cluster);
  // Log entries that no other server receives.
  cluster.SetReplicationCut(0, true);
  for (int n = 0; n < 20; ++n) {
    cluster.Call(0, MakePlainWrite("put tail " + std::to_string(n)));
    cluster.Advance(milliseconds(30));
  }
  cluster.SetCutOff(0, true);
  cluster.Call(1, MakeRequest("put lost 1", true));
  cluster.Advance(kChangeTime);
  const std::size_t second = cluster.Primary().value();
  REQUIRE(second != 0);
  const std::size_t third = 3 - second;
  REQUIRE(Execute(cluster, 1, MakeRequest("put new 1", true)).mOutcome ==
          Outcome::Done);
  REQUIRE(IsLogged(cluster, third, "put new 1"));
  // A majority now needs the old primary, which still has its extra log.
  cluster.SetDown(second, true);
  cluster.SetCutOff(0, false);
  cluster.Call(1, MakeRequest("put new 2", true));
  cluster.Advance(kChangeTime + seconds(1));
  REQUIRE(cluster.Primary() == third);
  cluster.Heal();
  cluster.Advance(seconds(6));
  for (std::size_t n = 0; n < 3; ++n) {
    CAPTURE(n, second, cluster.Describe(n).mTerm, cluster.Log(n).size());
    CHECK(IsLogged(cluster, n, "put new 1"));
    CHECK_FALSE(IsLogged(cluster, n, "put tail 19"));
  }
}

TEST_CASE("A change of primary completes if the promoter restarts at any step",
          "[Keeper]")
{
  const ServerOperation step = GENERATE(
    ServerOperation::Fence, ServerOperation::Promote, ServerOperation::Follow);
  const bool before = GENERATE(true, false);
  Cluster cluster(kSeed);
  WarmUp(cluster);
  cluster.SetCutOff(0, true);
  bool reached = false;
  const auto stop = [&](std::size_t, const ServerRequest& aRequest) {
    // The first message of the step is lost, and the promoter is restarted.
    const bool isStep = aRequest.mOperation == step && !reached;
    reached = reached || isStep;
    return !isStep;
  };
  (before ? cluster.mOnRequest : cluster.mOnReply) = stop;
  Workload workload(cluster);
  for (int n = 0; n < 400 && !reached; ++n) {
    workload.Run(milliseconds(10));
  }
  REQUIRE(reached);
  for (std::size_t n = 0; n < 3; ++n) {
    if (cluster.StateOf(n)
          .mKeeper.mGroups.at(IdOf<DatabaseId>("records"))
          .mPromotion) {
      cluster.RestartHost(n);
    }
  }
  workload.Run(seconds(6));
  REQUIRE(cluster.Primary() != 0U);
  CHECK(workload.mAsked.back().mAskedAt > cluster.mNow - seconds(1));
  cluster.Heal();
  cluster.Advance(seconds(6));
  CHECK(workload.Check() == std::vector<std::string>{});
}

TEST_CASE("Concurrent promotions end with exactly one primary", "[Keeper]")
{
  Cluster cluster(kSeed);
  WarmUp(cluster);
  // Hosts that are cut off from each other cannot coordinate their turns.
  for (std::size_t n = 0; n < 3; ++n) {
    cluster.SetPeersCut(n, (n + 1) % 3, true);
  }
  cluster.SetCutOff(0, true);
  Workload workload(cluster);
  workload.Run(seconds(6));
  REQUIRE(cluster.Primary().has_value());
  RequireHealthy(cluster);
  CHECK(workload.Check() == std::vector<std::string>{});
}

TEST_CASE("Silent connections do not cause a change of primary", "[Keeper]")
{
  Cluster cluster(kSeed);
  WarmUp(cluster);
  Workload workload(cluster);
  cluster.Silence(0);
  workload.Run(seconds(4));
  CHECK(cluster.Primary() == 0U);
  CHECK(cluster.mPrimaries.size() == 1);
  RequireHealthy(cluster);
}

TEST_CASE(
  "A primary that hosts can reach but other servers cannot stays primary",
  "[Keeper]")
{
  Cluster cluster(kSeed);
  WarmUp(cluster);
  cluster.SetReplicationCut(0, true);
  Workload workload(cluster);
  workload.Run(seconds(2));
  CHECK(cluster.mPrimaries.size() == 1);
}

TEST_CASE("A late fence answer does not make a promoter choose again",
          "[Keeper]")
{
  Cluster cluster(kSeed);
  WarmUp(cluster);
  Workload workload(cluster);
  for (int n = 0; n < 10; ++n) {
    cluster.Post(
      0, ServerLeaving{ cluster.IdOfServer(cluster.Primary().value()) });
    workload.Run(seconds(1));
  }
  CHECK(cluster.mPrimaries.size() > 5);
  RequireHealthy(cluster);
  CHECK(workload.Check() == std::vector<std::string>{});
}

TEST_CASE("A planned change aborts no transaction and loses no write",
          "[Keeper]")
{
  Cluster cluster(kSeed);
  WarmUp(cluster);
  CallerRequest begin = MakeRequest("", false);
  begin.mOperation = CallerOperation::Begin;
  const CallerAnswer begun = Execute(cluster, 0, begin);
  REQUIRE(begun.mOutcome == Outcome::Done);
  cluster.Post(0, ServerLeaving{ cluster.IdOfServer(0) });
  cluster.Advance(milliseconds(300));
  CallerRequest write = MakePlainWrite("put in-transaction 1");
  write.mTransaction = begun.mTransaction;
  const CallId statement = cluster.Call(0, write);
  cluster.Advance(milliseconds(300));
  REQUIRE(FindAnswer(cluster, 0, statement) != nullptr);
  CHECK(cluster.Primary() == 0U);
  CallerRequest commit = MakeRequest("", false);
  commit.mOperation = CallerOperation::Commit;
  commit.mTransaction = begun.mTransaction;
  CHECK(Execute(cluster, 0, commit).mOutcome == Outcome::Done);
  REQUIRE(cluster.Primary() != 0U);
  CHECK(IsLogged(cluster, cluster.Primary().value(), "put in-transaction 1"));
  RequireHealthy(cluster);
}

TEST_CASE("A read in a session whose write was lost fails with HistoryLost",
          "[Keeper]")
{
  Cluster cluster(kSeed);
  WarmUp(cluster);
  cluster.SetReplicationCut(0, true);
  const CallerAnswer lost = Execute(cluster, 0, MakePlainWrite("put gone 1"));
  REQUIRE(lost.mOutcome == Outcome::Done);
  cluster.SetCutOff(0, true);
  cluster.Call(1, MakeRequest("put new 1", true));
  cluster.Advance(kChangeTime);
  REQUIRE(cluster.Primary() != 0U);
  CallerRequest read = MakeRequest("get gone", false);
  read.mSessionToken = lost.mSessionToken;
  const CallerAnswer answer = Execute(cluster, 1, read);
  CHECK(answer.mCode == ResultCode::HistoryLost);
  CHECK(answer.mOutcome == Outcome::NotRun);
}

TEST_CASE("A keyed write with a lost answer is done once, an unkeyed one is "
          "unknown",
          "[Keeper]")
{
  const bool keyed = GENERATE(true, false);
  Cluster cluster(kSeed);
  WarmUp(cluster);
  cluster.mOnReply = [&](std::size_t aServer, const ServerRequest& aRequest) {
    if (aRequest.mText == "add fee 5" && aServer == 0) {
      cluster.SetDown(0, true);
      return false;
    }
    return true;
  };
  CallerRequest request = MakeRequest("add fee 5", true);
  request.mKey = keyed ? "fee-1" : "";
  const CallerAnswer answer = Execute(cluster, 0, request);
  CHECK(answer.mOutcome == (keyed ? Outcome::Done : Outcome::Unknown));
  RequireHealthy(cluster);
  const CallerAnswer read = Execute(cluster, 0, MakeRequest("get fee", false));
  CHECK((read.mResult == "5" || (!keyed && read.mResult.empty())));
}

TEST_CASE("A lease is counted from the time its requests were sent", "[Keeper]")
{
  Cluster cluster(kSeed);
  State state;
  state.mTopology = cluster.StateOf(0).mTopology;
  const DatabaseId database = IdOf<DatabaseId>("records");
  Group& group = state.mKeeper.mGroups[database];
  const ServerId primary = cluster.IdOfServer(0);
  const Instant sent{ seconds(10) };
  ServerReply reply;
  reply.mTerm = 3;
  NoteEvidence(group, primary, reply, sent + milliseconds(100));
  CHECK(LeaseUntil(state, database, primary, 3) == Instant::min());
  NoteEvidence(group, cluster.IdOfServer(1), reply, sent);
  CHECK(LeaseUntil(state, database, primary, 3) == sent + kLeaseDuration);
  // A later answer to an earlier request adds nothing.
  NoteEvidence(group, cluster.IdOfServer(1), reply, sent - seconds(1));
  CHECK(LeaseUntil(state, database, primary, 3) == sent + kLeaseDuration);
  reply.mTerm = 4;
  NoteEvidence(group, cluster.IdOfServer(1), reply, sent + milliseconds(50));
  CHECK(LeaseUntil(state, database, primary, 3) == Instant::min());
  CHECK(LeaseUntil(state, database, primary, 4) == Instant::min());
}
