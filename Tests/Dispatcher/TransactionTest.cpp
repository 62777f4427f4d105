#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

#include "Support/Fleet.h"

using namespace camphorstep;
using namespace camphorstep::testing;

namespace {

constexpr Duration kSettle = std::chrono::milliseconds(400);
const HostId kOtherHost = IdOf<HostId>("host-2");

/// An open transaction and its connection.
struct OpenTransaction
{
  std::string mHandle;
  ConnectionId mConnection;
};

OpenTransaction
Begin(SingleHost& aHost, std::uint64_t aCall)
{
  CallerRequest begin;
  begin.mCall = CallId{ aCall };
  begin.mOperation = CallerOperation::Begin;
  begin.mService = "technicians";
  begin.mDatabase = "records";
  aHost.Apply(begin);
  aHost.ServeProbes(kSettle);
  const auto sent = aHost.TakeStatement();
  REQUIRE(sent);
  aHost.Reply(*sent, ServerStatus::Ok);
  const auto answer = aHost.Take<AnswerCaller>();
  REQUIRE(answer);
  REQUIRE(answer->mAnswer.mOutcome == Outcome::Done);
  return { answer->mAnswer.mTransaction, sent->mConnection };
}

/// Whether the core has closed a connection since the last call.
bool
IsClosed(SingleHost& aHost, ConnectionId aConnection)
{
  bool closed = false;
  while (const auto close = aHost.Take<CloseConnection>()) {
    closed = closed || close->mConnection == aConnection;
  }
  return closed;
}

/// Sends a request of a transaction to the server.
SendToServer
Send(SingleHost& aHost,
     std::uint64_t aCall,
     CallerOperation aOperation,
     const OpenTransaction& aTransaction)
{
  aHost.Apply(aHost.MakeInTransaction(aCall, aOperation, aTransaction.mHandle));
  const auto sent = aHost.TakeStatement();
  REQUIRE(sent);
  CHECK(sent->mConnection == aTransaction.mConnection);
  return *sent;
}

CallerAnswer
TakeAnswer(SingleHost& aHost)
{
  const auto answer = aHost.Take<AnswerCaller>();
  REQUIRE(answer);
  return answer->mAnswer;
}

/// A statement of a transaction, as forwarded by another entry host.
ForwardRequest
MakeForwarded(const OpenTransaction& aTransaction, const SingleHost& aHost)
{
  const auto handle =
    OpenTransactionHandle(aHost.mState.mSessionKey, aTransaction.mHandle);
  REQUIRE(handle);
  ForwardRequest request;
  request.mId = RequestId{ 99, 1 };
  request.mAttempt = 1;
  request.mServer = handle->mServer;
  request.mText = "put roamed 1";
  request.mWrite = true;
  request.mNeedsPrimary = true;
  request.mTimeLeft = std::chrono::seconds(5);
  request.mTransaction = handle->mTransaction;
  return request;
}

}

TEST_CASE("A transaction over its rank's cap waits until another one ends",
          "[Transactions]")
{
  SingleHost host;
  const RankRules& rules =
    host.mState.mConfiguration.mCurrent.mRanks[IndexOf(Rank::Urgent)];
  std::vector<OpenTransaction> open;
  std::uint64_t call = 0;
  for (int n = 0; n < rules.mMaxTransactions; ++n) {
    open.push_back(Begin(host, ++call));
  }
  CallerRequest begin = host.MakeWrite(++call, "");
  begin.mOperation = CallerOperation::Begin;
  host.Apply(begin);
  host.ServeProbes(kSettle);
  CHECK_FALSE(host.TakeStatement());
  CHECK_FALSE(host.Take<AnswerCaller>());
  host.Apply(host.MakeInTransaction(
    ++call, CallerOperation::Rollback, open.front().mHandle));
  const auto rollback = host.TakeStatement();
  REQUIRE(rollback);
  host.Reply(*rollback, ServerStatus::Ok);
  host.ServeProbes(kSettle);
  const auto next = host.TakeStatement();
  REQUIRE(next);
  CHECK(next->mRequest.mOperation == ServerOperation::Begin);
}

TEST_CASE("A transaction over the cap is not run at its deadline",
          "[Transactions]")
{
  SingleHost host;
  host.mState.mConfiguration.mCurrent.mRanks[IndexOf(Rank::Urgent)]
    .mMaxTransactions = 1;
  Begin(host, 1);
  CallerRequest begin = host.MakeWrite(2, "");
  begin.mOperation = CallerOperation::Begin;
  begin.mDeadline = kSettle;
  host.Apply(begin);
  host.ServeProbes(2 * kSettle);
  const auto answer = host.Take<AnswerCaller>();
  REQUIRE(answer);
  CHECK(answer->mAnswer.mOutcome == Outcome::NotRun);
  CHECK(answer->mAnswer.mCode == ResultCode::DeadlineExceeded);
}

TEST_CASE("Each transaction stays on its own connection", "[Transactions]")
{
  SingleHost host;
  const OpenTransaction first = Begin(host, 1);
  const OpenTransaction second = Begin(host, 2);
  REQUIRE(first.mConnection != second.mConnection);
  const SendToServer a = Send(host, 3, CallerOperation::Run, first);
  const SendToServer b = Send(host, 4, CallerOperation::Run, second);
  host.Apply(host.MakeWrite(5, "put outside 1"));
  host.ServeProbes(kSettle);
  const auto outside = host.TakeStatement();
  REQUIRE(outside);
  CHECK(outside->mConnection != first.mConnection);
  CHECK(outside->mConnection != second.mConnection);
  // Answers may come in any order.
  host.Reply(b, ServerStatus::Ok, "of b");
  CHECK(TakeAnswer(host).mResult == "of b");
  host.Reply(a, ServerStatus::Ok, "of a");
  CHECK(TakeAnswer(host).mResult == "of a");
}

TEST_CASE("A commit that the busy server refused leaves the transaction open",
          "[Transactions]")
{
  SingleHost host;
  const OpenTransaction transaction = Begin(host, 1);
  const SendToServer commit =
    Send(host, 2, CallerOperation::Commit, transaction);
  host.Reply(commit, ServerStatus::Busy);
  CHECK(TakeAnswer(host).mOutcome == Outcome::NotRun);
  // Other statements must not use the connection in the meantime.
  host.Apply(host.MakeWrite(3, "put outside 1"));
  host.ServeProbes(kSettle);
  const auto outside = host.TakeStatement();
  REQUIRE(outside);
  CHECK(outside->mConnection != transaction.mConnection);
  const SendToServer again =
    Send(host, 4, CallerOperation::Commit, transaction);
  host.Reply(again, ServerStatus::Ok);
  CHECK(TakeAnswer(host).mOutcome == Outcome::Done);
}

TEST_CASE("A commit refused for another reason closes the connection",
          "[Transactions]")
{
  SingleHost host;
  const OpenTransaction transaction = Begin(host, 1);
  const SendToServer commit =
    Send(host, 2, CallerOperation::Commit, transaction);
  host.Reply(commit, ServerStatus::NotPrimary);
  CHECK(TakeAnswer(host).mOutcome == Outcome::NotRun);
  CHECK(IsClosed(host, transaction.mConnection));
}

TEST_CASE("A commit is answered once", "[Transactions]")
{
  SingleHost host;
  const OpenTransaction transaction = Begin(host, 1);
  const SendToServer commit =
    Send(host, 2, CallerOperation::Commit, transaction);
  host.Reply(commit, ServerStatus::Ok);
  CHECK(TakeAnswer(host).mOutcome == Outcome::Done);
  host.Reply(commit, ServerStatus::Ok);
  CHECK_FALSE(host.Take<AnswerCaller>());
  host.Apply(
    host.MakeInTransaction(3, CallerOperation::Commit, transaction.mHandle));
  CHECK(TakeAnswer(host).mCode == ResultCode::UnknownTransaction);
}

TEST_CASE("A caller that disconnects during a statement ends its transaction",
          "[Transactions]")
{
  SingleHost host;
  const OpenTransaction transaction = Begin(host, 1);
  Send(host, 2, CallerOperation::Run, transaction);
  host.Apply(CallerGone{ CallId{ 2 } });
  CHECK(IsClosed(host, transaction.mConnection));
  TakeAnswer(host);
  host.Apply(
    host.MakeInTransaction(3, CallerOperation::Run, transaction.mHandle));
  CHECK(TakeAnswer(host).mCode == ResultCode::UnknownTransaction);
}

TEST_CASE("A transaction that began too late for its caller is closed",
          "[Transactions]")
{
  SingleHost host;
  const OpenTransaction transaction = Begin(host, 1);
  const auto handle =
    OpenTransactionHandle(host.mState.mSessionKey, transaction.mHandle);
  // The entry host cancelled the request while the answer was in transit.
  host.Apply(PeerMessageReceived{
    kOtherHost, CancelRequest{ handle->mTransaction, handle->mServer } });
  CHECK(IsClosed(host, transaction.mConnection));
}

TEST_CASE("A transaction can continue through another entry host",
          "[Transactions]")
{
  SingleHost host;
  const OpenTransaction transaction = Begin(host, 1);
  host.Apply(
    PeerMessageReceived{ kOtherHost, MakeForwarded(transaction, host) });
  const auto sent = host.TakeStatement();
  REQUIRE(sent);
  CHECK(sent->mConnection == transaction.mConnection);
  host.Reply(*sent, ServerStatus::Ok, "1");
  const auto answer = host.Take<SendToPeer>();
  REQUIRE(answer);
  CHECK(answer->mHost == kOtherHost);
  CHECK(std::get<ForwardAnswer>(answer->mMessage).mOutcome == Outcome::Done);
}

TEST_CASE("Losing the entry host during a statement ends the transaction",
          "[Transactions]")
{
  SingleHost host;
  const OpenTransaction transaction = Begin(host, 1);
  host.Apply(
    PeerMessageReceived{ kOtherHost, MakeForwarded(transaction, host) });
  REQUIRE(host.TakeStatement());
  host.Apply(PeerDisconnected{ kOtherHost });
  CHECK(IsClosed(host, transaction.mConnection));
}

TEST_CASE("A transaction whose entry host is gone is closed soon",
          "[Transactions]")
{
  SingleHost host;
  const OpenTransaction transaction = Begin(host, 1);
  host.Apply(
    PeerMessageReceived{ kOtherHost, MakeForwarded(transaction, host) });
  const auto sent = host.TakeStatement();
  REQUIRE(sent);
  host.Reply(*sent, ServerStatus::Ok, "1");
  host.Apply(PeerDisconnected{ kOtherHost });
  SECTION("unless its caller continues through another host")
  {
    host.ServeProbes(std::chrono::milliseconds(500));
    const SendToServer run = Send(host, 2, CallerOperation::Run, transaction);
    host.Reply(run, ServerStatus::Ok, "2");
    host.ServeProbes(std::chrono::milliseconds(1'500));
    CHECK_FALSE(IsClosed(host, transaction.mConnection));
  }
  SECTION("otherwise")
  {
    host.ServeProbes(std::chrono::milliseconds(1'500));
    CHECK(IsClosed(host, transaction.mConnection));
  }
}

TEST_CASE("An idle transaction is closed at its profile's timeout",
          "[Transactions]")
{
  SingleHost host;
  const OpenTransaction transaction = Begin(host, 1);
  const Duration timeout =
    host.mState.mConfiguration.mCurrent.mProfiles.at("urgent")
      .mTransactionIdleTimeout;
  host.ServeProbes(timeout - std::chrono::seconds(1));
  CHECK_FALSE(IsClosed(host, transaction.mConnection));
  host.ServeProbes(std::chrono::seconds(2));
  CHECK(IsClosed(host, transaction.mConnection));
}
