#include <catch2/catch.hpp>

#include <map>
#include <string>

#include "Fleet/Sources.h"
#include "Gateway/Tuning.h"
#include "GatewayDriver.h"
#include "Relay/Interruption.h"
#include "Relay/Owners.h"
#include "Relay/RelayTuning.h"

namespace camphorstep::gateway {

using namespace std::chrono_literals;

namespace {

/// More hosts than a server of the driver's group accepts connections.
constexpr std::size_t kManyHosts = 17;

void
AddHost(State& aState,
        const std::string& aName,
        const std::string& aDataCentre,
        std::uint32_t aProcessorShare = 0)
{
  aState.mCatalogue.mHosts[aName] = {
    aName, { "10.0.2.1", 1 }, aDataCentre, 8, aProcessorShare
  };
}

/// How many of a thousand groups each host of a data centre owns.
std::map<std::string, int>
CountGroups(State& aState)
{
  std::vector<Effect> effects;
  const Context context{ aState, Instant{}, effects };
  std::map<std::string, int> counts;
  for (int n = 0; n < 1000; ++n) {
    const HostEntry* const owner =
      ChooseOwner(context, "group" + std::to_string(n));
    ++counts[owner == nullptr ? aState.mSelf.mEntry.mName : owner->mName];
  }
  return counts;
}

/// The owner of each of a thousand groups.
std::map<std::string, std::string>
Owners(State& aState)
{
  std::vector<Effect> effects;
  const Context context{ aState, Instant{}, effects };
  std::map<std::string, std::string> owners;
  for (int n = 0; n < 1000; ++n) {
    const std::string group = "group" + std::to_string(n);
    const HostEntry* const owner = ChooseOwner(context, group);
    owners[group] = owner == nullptr ? "self" : owner->mName;
  }
  return owners;
}

/// A host that passes its sessions on to an owner which the test plays.
struct EntryHost : GatewayDriver
{
  EntryHost()
  {
    mState.mSelf.mIsRelaying = true;
    for (std::size_t n = 0; n < kManyHosts; ++n) {
      AddHost(mState, "far" + std::to_string(n), "b");
    }
    AddHost(mState, "h1", "a");
    mOwner = AddOwner();
  }

  /// Adds a host of this data centre that owns the group's connections and
  /// does not precede this host, which then asks the servers itself.
  std::string AddOwner()
  {
    std::vector<Effect> effects;
    const Context context{ mState, mNow, effects };
    for (int n = 0;; ++n) {
      std::string name = "owner" + std::to_string(n);
      if (mState.mCatalogue.mHosts.contains(name)) {
        continue;
      }
      AddHost(mState, name, "a");
      const HostEntry* const owner = ChooseOwner(context, "group");
      const bool isUsable =
        owner != nullptr && owner->mName == name &&
        !PrecedesInDataCentre(context, mState.mCatalogue.mHosts[name]);
      if (isUsable) {
        return name;
      }
      mState.mCatalogue.mHosts.erase(name);
    }
  }

  template<typename Body>
  void Respond(Body aBody)
  {
    Deliver(RelayResponse{ mRelay, std::move(aBody) });
  }

  /// Opens a session of a caller at the owner.
  void OpenRelayed(const std::string& aDatabase = "main")
  {
    Deliver(SessionOpened{ SessionId{ 1 }, aDatabase });
    const auto open = Take<OpenRelay>();
    REQUIRE(open);
    CHECK(open->mHost == mOwner);
    mRelay = open->mRelay;
    CHECK_FALSE(Take<AcceptSession>());
    Respond(RelayAcceptance{});
    CHECK(Take<AcceptSession>());
  }

  /// Has the owner answer the next statement.
  void AnswerAtOwner(TransactionState aState = TransactionState::None)
  {
    REQUIRE(Take<SendOnRelay>());
    AnswerCaller answer;
    answer.mRows = { "row" };
    answer.mSignature = "signature";
    answer.mState = aState;
    answer.mPosition = Position{ 3, 4 };
    Respond(answer);
    const auto passed = Answer();
    REQUIRE(passed);
    CHECK(passed->mSession == SessionId{ 1 });
    CHECK(passed->mRows == answer.mRows);
    CHECK(passed->mSignature == "signature");
    CHECK(passed->mPosition == answer.mPosition);
  }

  void BeginAndWrite()
  {
    Send(1, StatementKind::Begin);
    AnswerAtOwner(TransactionState::Open);
    Send(1, StatementKind::Write);
    AnswerAtOwner(TransactionState::Open);
  }

  /// The connection to the owner breaks.
  void LoseOwner() { Deliver(RelayConnectionLost{ mOwner }); }

  std::string mOwner;
  RelayId mRelay;
};

}

TEST_CASE("Groups are spread over the hosts of a data centre by their weight",
          "[Relay]")
{
  State state;
  state.mSelf.mEntry = { "h0", {}, "a", 1, 500 };
  for (int n = 0; n < 10; ++n) {
    AddHost(state, "h" + std::to_string(n), "a", n < 5 ? 500 : 1000);
    AddHost(state, "other" + std::to_string(n), "b", 4000);
  }
  const auto counts = CountGroups(state);
  CHECK(counts.size() == 10);
  for (const auto& [name, count] : counts) {
    // 1000 / 15 groups for each half of a core.
    const int expected = name < "h5" ? 67 : 133;
    CHECK(count > expected * 2 / 3);
    CHECK(count < expected * 4 / 3);
  }
}

TEST_CASE("Only the groups of a host that joins or leaves change their owner",
          "[Relay]")
{
  State state;
  state.mSelf.mEntry = { "self", {}, "a", 1, 500 };
  for (int n = 0; n < 9; ++n) {
    AddHost(state, "h" + std::to_string(n), "a", 500);
  }
  const auto before = Owners(state);
  AddHost(state, "joined", "a", 500);
  const auto after = Owners(state);
  int moved = 0;
  for (const auto& [group, owner] : before) {
    if (after.at(group) != owner) {
      CHECK(after.at(group) == "joined");
      ++moved;
    }
  }
  CHECK(moved > 50);
  CHECK(moved < 150);
  state.mCatalogue.mHosts.erase("joined");
  CHECK(Owners(state) == before);
}

TEST_CASE("All hosts of a data centre choose the same owner", "[Relay]")
{
  State state;
  std::map<std::string, std::string> owners;
  for (int n = 0; n < 6; ++n) {
    AddHost(state, "h" + std::to_string(n), "a", 250 + 250 * (n % 2));
  }
  for (const auto& [name, host] : state.mCatalogue.mHosts) {
    state.mSelf.mEntry = host;
    for (auto& [group, owner] : Owners(state)) {
      const std::string chosen = owner == "self" ? name : owner;
      CHECK(owners.emplace(group, chosen).first->second == chosen);
    }
  }
}

TEST_CASE("Sessions are passed on only where connections are scarce", "[Relay]")
{
  EntryHost host;
  SECTION("as many hosts as connections that hosts may use")
  {
    // The group's servers accept 20, less those that are spared.
    host.mState.mCatalogue.mHosts.erase("far0");
    host.mState.mCatalogue.mHosts.erase("far1");
    host.mState.mCatalogue.mHosts.erase("far2");
    REQUIRE(host.mState.mCatalogue.mHosts.size() == 16);
  }
  SECTION("no other host in the data centre")
  {
    host.mState.mCatalogue.mHosts.erase(host.mOwner);
  }
  SECTION("switched off")
  {
    host.mState.mSelf.mIsRelaying = false;
  }
  host.Deliver(SessionOpened{ SessionId{ 1 }, "main" });
  CHECK_FALSE(host.Take<OpenRelay>());
  CHECK(host.Take<AcceptSession>());
  CHECK(host.mState.mSessions.contains(SessionId{ 1 }));
}

TEST_CASE("A session that was passed on is not passed on again", "[Relay]")
{
  EntryHost host;
  SessionOpened opened{ SessionId{ 9 }, "main" };
  opened.mIsRelayed = true;
  host.Deliver(opened);
  CHECK_FALSE(host.Take<OpenRelay>());
  CHECK(host.Take<AcceptSession>());
  CHECK(host.mState.mCounters.mSessionsTakenOver == 1);
}

TEST_CASE("The entry host checks the database itself", "[Relay]")
{
  EntryHost host;
  host.Deliver(SessionOpened{ SessionId{ 1 }, "nowhere" });
  CHECK_FALSE(host.Take<OpenRelay>());
  CHECK(host.Take<RefuseSession>()->mCode == ResultCode::UnknownDatabase);
}

TEST_CASE("Statements and answers are passed on unchanged and in order",
          "[Relay]")
{
  EntryHost host;
  host.OpenRelayed();
  host.Send(1, StatementKind::Write, "name", "argument");
  host.Send(1, StatementKind::Read);
  const auto sent = host.Take<SendOnRelay>();
  CHECK(sent->mRelay == host.mRelay);
  CHECK(sent->mStatement.mId == "id1");
  CHECK(sent->mStatement.mText == "text");
  CHECK(sent->mStatement.mName == "name");
  CHECK(sent->mStatement.mArgument == "argument");
  // The second one waits for the answer to the first.
  CHECK_FALSE(host.Take<SendOnRelay>());
  host.Respond(AnswerCaller{});
  CHECK(host.Answer());
  host.AnswerAtOwner();
  CHECK(host.mState.mCounters.mStatementsRelayed == 2);
  host.Deliver(SessionEnded{ SessionId{ 1 } });
  CHECK(host.Take<EndRelay>()->mRelay == host.mRelay);
  CHECK(host.mState.mRelays.mSessions.empty());
  CHECK(host.mState.mRelays.mSessionIds.empty());
  CHECK(host.mState.mRelays.mSessionCounts.empty());
}

TEST_CASE("A session runs on its entry host if the owner does not open it",
          "[Relay]")
{
  EntryHost host;
  host.Deliver(SessionOpened{ SessionId{ 1 }, "main" });
  const auto open = host.Take<OpenRelay>();
  REQUIRE(open);
  host.Send(1, StatementKind::Read);
  CHECK_FALSE(host.Take<SendOnRelay>());
  SECTION("because it cannot be reached")
  {
    host.LoseOwner();
    CHECK(host.mState.mCounters.mOwnersPassedOver == 1);
  }
  SECTION("because it does not answer")
  {
    host.Run(kRelayOpenTimeout - 20ms);
    CHECK_FALSE(host.Take<AcceptSession>());
    host.Run(40ms);
    CHECK(host.mState.mCounters.mOwnersPassedOver == 1);
  }
  SECTION("because it refuses")
  {
    host.Deliver(
      RelayResponse{ open->mRelay, RelayRefusal{ ResultCode::Stopping } });
    CHECK(host.mState.mCounters.mOwnersPassedOver == 1);
  }
  CHECK(host.Take<AcceptSession>());
  CHECK(host.Take<EndRelay>()->mRelay == open->mRelay);
  CHECK(host.mState.mCounters.mRelayFallbacks == 1);
  const auto statement = host.NextStatement();
  REQUIRE(statement);
  host.Reply(*statement);
  CHECK(host.Answer()->mCode == ResultCode::Ok);
  // Others do not try it either for a time.
  host.Deliver(SessionOpened{ SessionId{ 2 }, "main" });
  CHECK_FALSE(host.Take<OpenRelay>());
  // A late acceptance changes nothing.
  host.Deliver(RelayResponse{ open->mRelay, RelayAcceptance{} });
  CHECK(host.mState.mSessions.size() == 2);
}

TEST_CASE("One session finds out whether an owner is back", "[Relay]")
{
  EntryHost host;
  host.Deliver(SessionOpened{ SessionId{ 1 }, "main" });
  CHECK(host.Take<OpenRelay>());
  host.LoseOwner();
  host.Run(kInitialOwnerBackoff);
  host.Deliver(SessionOpened{ SessionId{ 2 }, "main" });
  const auto open = host.Take<OpenRelay>();
  REQUIRE(open);
  host.Deliver(SessionOpened{ SessionId{ 3 }, "main" });
  CHECK_FALSE(host.Take<OpenRelay>());
  SECTION("it is")
  {
    host.Deliver(RelayResponse{ open->mRelay, RelayAcceptance{} });
    host.Deliver(SessionOpened{ SessionId{ 4 }, "main" });
    CHECK(host.Take<OpenRelay>());
  }
  SECTION("it is not, and is passed over for longer")
  {
    host.Run(kRelayOpenTimeout + 20ms);
    host.Run(kInitialOwnerBackoff);
    host.Deliver(SessionOpened{ SessionId{ 4 }, "main" });
    CHECK_FALSE(host.Take<OpenRelay>());
    host.Run(kInitialOwnerBackoff);
    host.Deliver(SessionOpened{ SessionId{ 5 }, "main" });
    CHECK(host.Take<OpenRelay>());
  }
}

TEST_CASE("What callers may be told of an interrupted statement", "[Relay]")
{
  const auto codeOf = [](StatementKind aKind,
                         TransactionState aTransaction,
                         bool aMayCommit,
                         bool aMayHaveRun) {
    return OutcomeOf({ aKind, aTransaction, aMayCommit, aMayHaveRun }).mCode;
  };
  using enum TransactionState;
  CHECK(codeOf(StatementKind::Write, None, true, true) ==
        ResultCode::ConnectionLost);
  CHECK(codeOf(StatementKind::Write, None, true, false) ==
        ResultCode::Overloaded);
  CHECK(codeOf(StatementKind::Read, None, false, true) ==
        ResultCode::Overloaded);
  CHECK(codeOf(StatementKind::Commit, Open, true, true) ==
        ResultCode::ConnectionLost);
  CHECK(codeOf(StatementKind::Commit, Open, true, false) ==
        ResultCode::TransactionAborted);
  CHECK(codeOf(StatementKind::Commit, Open, false, true) ==
        ResultCode::TransactionAborted);
  CHECK(codeOf(StatementKind::Write, Open, false, true) ==
        ResultCode::TransactionAborted);
  CHECK(codeOf(StatementKind::Rollback, Open, false, true) == ResultCode::Ok);
}

TEST_CASE("A write that was sent to a lost owner has an unknown outcome",
          "[Relay]")
{
  EntryHost host;
  host.OpenRelayed();
  ResultCode expected = ResultCode::ConnectionLost;
  SECTION("a single write")
  {
    host.Send(1, StatementKind::Write);
  }
  SECTION("by a prepared name")
  {
    Statement prepare;
    prepare.mKind = StatementKind::Prepare;
    prepare.mName = "p";
    prepare.mWrites = true;
    host.Deliver(StatementReceived{ SessionId{ 1 }, prepare });
    host.AnswerAtOwner();
    host.Send(1, StatementKind::Execute, "p");
  }
  SECTION("the commit of a transaction that wrote")
  {
    host.BeginAndWrite();
    host.Send(1, StatementKind::Commit);
  }
  SECTION("a read by a prepared name has not run")
  {
    Statement prepare;
    prepare.mKind = StatementKind::Prepare;
    prepare.mName = "p";
    host.Deliver(StatementReceived{ SessionId{ 1 }, prepare });
    host.AnswerAtOwner();
    host.Send(1, StatementKind::Execute, "p");
    expected = ResultCode::Overloaded;
  }
  host.LoseOwner();
  const auto answer = host.Answer();
  CHECK(answer->mCode == expected);
  CHECK(answer->mState == TransactionState::None);
  // Its values and names are gone.
  CHECK(host.Take<CloseSession>()->mSession == SessionId{ 1 });
  CHECK(host.mState.mRelays.mSessions.empty());
  CHECK_FALSE(host.Answer());
}

TEST_CASE("A lost owner ends a transaction, and the caller learns of it",
          "[Relay]")
{
  const bool isStatementSent = GENERATE(false, true);
  const StatementKind end =
    GENERATE(StatementKind::Rollback, StatementKind::Commit);
  EntryHost host;
  host.OpenRelayed();
  host.BeginAndWrite();
  if (isStatementSent) {
    host.Send(1, StatementKind::Write);
    host.LoseOwner();
  } else {
    host.LoseOwner();
    CHECK_FALSE(host.Answer());
    CHECK_FALSE(host.Take<CloseSession>());
    host.Send(1, StatementKind::Write);
  }
  const auto answer = host.Answer();
  REQUIRE(answer);
  CHECK(answer->mCode == ResultCode::TransactionAborted);
  CHECK(answer->mState == TransactionState::Failed);
  CHECK_FALSE(host.Take<CloseSession>());
  host.Send(1, StatementKind::Read);
  CHECK(host.Answer()->mCode == ResultCode::MalformedRequest);
  host.Send(1, end);
  const auto last = host.Answer();
  CHECK(last->mCode == (end == StatementKind::Commit
                          ? ResultCode::TransactionAborted
                          : ResultCode::Ok));
  CHECK(last->mState == TransactionState::None);
  CHECK(host.Take<CloseSession>());
}

TEST_CASE("A commit after the owner was lost is aborted", "[Relay]")
{
  EntryHost host;
  host.OpenRelayed();
  host.BeginAndWrite();
  host.LoseOwner();
  host.Send(1, StatementKind::Commit);
  const auto answer = host.Answer();
  CHECK(answer->mCode == ResultCode::TransactionAborted);
  CHECK(answer->mState == TransactionState::None);
  CHECK(host.Take<CloseSession>());
}

TEST_CASE("An idle session whose owner is lost", "[Relay]")
{
  EntryHost host;
  host.OpenRelayed();
  SECTION("goes on elsewhere if it has no state")
  {
    host.Send(1, StatementKind::Read);
    host.AnswerAtOwner();
    host.LoseOwner();
    CHECK_FALSE(host.Take<CloseSession>());
    host.Send(1, StatementKind::Read);
    CHECK_FALSE(host.Take<AcceptSession>());
    host.Reply(*host.NextStatement());
    CHECK(host.Answer()->mCode == ResultCode::Ok);
  }
  SECTION("is closed if it has values")
  {
    host.Send(1, StatementKind::SetValue, "zone", "UTC");
    host.AnswerAtOwner();
    host.LoseOwner();
    CHECK(host.Take<CloseSession>());
  }
  SECTION("is closed if it has written")
  {
    // Its reads have to show its own writes.
    host.Send(1, StatementKind::Write);
    host.AnswerAtOwner();
    host.LoseOwner();
    CHECK(host.Take<CloseSession>());
  }
}

TEST_CASE("A frozen owner is given up after the statement's time limit",
          "[Relay]")
{
  EntryHost host;
  host.OpenRelayed();
  SECTION("a write has an unknown outcome")
  {
    host.Send(1, StatementKind::Write);
    host.Run(1s + kRelayAnswerMargin - 20ms);
    CHECK_FALSE(host.Answer());
    host.Run(40ms);
    CHECK(host.Answer()->mCode == ResultCode::ConnectionLost);
    CHECK(host.Take<CloseSession>());
  }
  SECTION("others that have state are refused at once")
  {
    const RelayId first = host.mRelay;
    host.Deliver(SessionOpened{ SessionId{ 2 }, "main" });
    const RelayId second = host.Take<OpenRelay>()->mRelay;
    host.Deliver(RelayResponse{ second, RelayAcceptance{} });
    host.Send(2, StatementKind::SetValue, "zone", "UTC");
    CHECK(host.Take<SendOnRelay>());
    host.Deliver(RelayResponse{ second, AnswerCaller{} });
    CHECK(host.Answer());
    host.Send(1, StatementKind::Read);
    CHECK(host.Take<SendOnRelay>()->mRelay == first);
    host.Run(1s + kRelayAnswerMargin + 20ms);
    CHECK(host.Answer()->mCode == ResultCode::Overloaded);
    host.Send(2, StatementKind::Write);
    CHECK_FALSE(host.Take<SendOnRelay>());
    CHECK(host.Answer()->mCode == ResultCode::Overloaded);
    CHECK(host.Take<CloseSession>()->mSession == SessionId{ 2 });
  }
  CHECK(host.mState.mCounters.mOwnersPassedOver == 1);
  CHECK(host.Take<EndRelay>());
}

TEST_CASE("A host that was stalled waits for the answer once more", "[Relay]")
{
  EntryHost host;
  host.OpenRelayed();
  host.Send(1, StatementKind::Write);
  REQUIRE(host.Take<SendOnRelay>());
  host.mNow += 5s;
  host.Deliver(TimePassed{});
  CHECK_FALSE(host.Answer());
  host.Respond(AnswerCaller{});
  CHECK(host.Answer()->mCode == ResultCode::Ok);
}

TEST_CASE("An owner that stops ends its sessions", "[Relay]")
{
  EntryHost host;
  host.OpenRelayed();
  SECTION("one with state is closed when nothing is outstanding")
  {
    host.Send(1, StatementKind::SetValue, "zone", "UTC");
    host.AnswerAtOwner();
    host.Respond(RelayEnd{ 1 });
    CHECK_FALSE(host.Answer());
    CHECK(host.Take<CloseSession>());
  }
  SECTION("a statement that it has not received has not run")
  {
    host.Send(1, StatementKind::SetValue, "zone", "UTC");
    host.AnswerAtOwner();
    host.Send(1, StatementKind::Write);
    host.Respond(RelayEnd{ 1 });
    CHECK(host.Answer()->mCode == ResultCode::Overloaded);
    CHECK(host.Take<CloseSession>());
  }
  SECTION("a write that it has received may have run")
  {
    host.Send(1, StatementKind::Write);
    host.Respond(RelayEnd{ 1 });
    CHECK(host.Answer()->mCode == ResultCode::ConnectionLost);
    CHECK(host.Take<CloseSession>());
  }
  SECTION("a session without state goes on at the next owner")
  {
    host.Send(1, StatementKind::Write);
    CHECK(host.Take<SendOnRelay>());
    const std::string first = host.mOwner;
    AddHost(host.mState, "next", "a");
    host.Respond(RelayEnd{ 0 });
    const auto open = host.Take<OpenRelay>();
    if (open) {
      CHECK(open->mHost == "next");
      host.mRelay = open->mRelay;
      host.Respond(RelayAcceptance{});
      host.AnswerAtOwner();
    } else {
      // This host comes before the next one in the group's order.
      host.Reply(*host.NextStatement());
      CHECK(host.Answer()->mCode == ResultCode::Ok);
    }
    CHECK_FALSE(host.Take<AcceptSession>());
    CHECK_FALSE(host.Take<CloseSession>());
  }
}

TEST_CASE("A statement that cannot be sent to the owner has not run", "[Relay]")
{
  EntryHost host;
  host.OpenRelayed();
  host.Send(1, StatementKind::SetValue, "zone", "UTC");
  host.AnswerAtOwner();
  host.Send(1, StatementKind::Write);
  host.Deliver(RelayStatementUnsent{ host.mRelay });
  CHECK(host.Answer()->mCode == ResultCode::Overloaded);
  CHECK(host.Take<CloseSession>());
  CHECK(host.Take<EndRelay>());
}

TEST_CASE("A caller that sends too much ahead is cut off", "[Relay]")
{
  EntryHost host;
  host.OpenRelayed();
  for (int n = 0; n < 66; ++n) {
    host.Send(1, StatementKind::Read);
  }
  CHECK(host.Take<CloseSession>());
  CHECK(host.mState.mRelays.mSessions.empty());
}

TEST_CASE("A stop of the entry host counts sessions that it passes on",
          "[Relay]")
{
  EntryHost host;
  host.OpenRelayed();
  host.Send(1, StatementKind::Begin);
  host.AnswerAtOwner(TransactionState::Open);
  host.Deliver(StopRequested{});
  host.Run(2700ms);
  CHECK_FALSE(host.Take<CloseSession>());
  CHECK_FALSE(host.Take<StopComplete>());
  SECTION("one is closed with the end of its transaction")
  {
    host.Send(1, StatementKind::Commit);
    host.AnswerAtOwner();
  }
  SECTION("one is closed after its part of the grace time")
  {
    host.Run(1s);
  }
  CHECK(host.Take<CloseSession>());
  CHECK(host.Take<EndRelay>());
  host.Run(100ms);
  CHECK(host.Take<StopComplete>());
}

TEST_CASE("A stop closes idle sessions that are passed on", "[Relay]")
{
  EntryHost host;
  host.OpenRelayed();
  host.Run(400ms);
  host.Deliver(StopRequested{});
  CHECK(host.Take<CloseSession>());
}

TEST_CASE("An owner rolls back when the entry host is gone", "[Relay]")
{
  EntryHost host;
  SessionOpened opened{ SessionId{ 9 }, "main" };
  opened.mIsRelayed = true;
  host.Deliver(opened);
  host.Send(9, StatementKind::Begin);
  host.Send(9, StatementKind::Write);
  const auto begin = host.NextStatement();
  host.Reply(*begin, ResultCode::Ok, TransactionState::Open);
  host.Reply(*host.NextStatement(), ResultCode::Ok, TransactionState::Open);
  host.Deliver(SessionEnded{ SessionId{ 9 } });
  const auto rollback = host.Take<SendOnLink>();
  REQUIRE(rollback);
  CHECK(rollback->mRequest.mVerb == BackendVerb::Rollback);
}

}
