#include <catch2/catch.hpp>

#include "platform/WireText.h"

using namespace camphorstep;
using namespace camphorstep::platform;
using gateway::BackendReply;
using gateway::BackendRequest;
using gateway::BackendVerb;
using gateway::StatementKind;
using gateway::TransactionState;

TEST_CASE("Queries are read into statements", "[WireText]")
{
  CHECK(ReadStatement("a BEGIN").mKind == StatementKind::Begin);
  CHECK(ReadStatement("a BEGIN READ").mKind == StatementKind::BeginReadOnly);
  CHECK(ReadStatement("a COMMIT").mKind == StatementKind::Commit);
  const auto write = ReadStatement("5c0e WRITE 1a4 some data");
  CHECK(write.mKind == StatementKind::Write);
  CHECK(write.mId == "5c0e");
  CHECK(write.mText == "WRITE 1a4 some data");
  const auto prepare = ReadStatement("a PREPARE s1 WRITE q2c");
  CHECK(prepare.mKind == StatementKind::Prepare);
  CHECK(prepare.mName == "s1");
  CHECK(prepare.mWrites);
  CHECK(prepare.mArgument == "q2c");
  const auto execute = ReadStatement("a EXECUTE s1 1a4 xkq");
  CHECK(execute.mKind == StatementKind::Execute);
  CHECK(execute.mArgument == "1a4 xkq");
}

TEST_CASE("Queries that cannot be read are malformed", "[WireText]")
{
  for (const char* const text : { "",
                                  "a",
                                  "a DROP x",
                                  "a SET",
                                  "a PREPARE s1",
                                  "a PREPARE s1 APPEND q",
                                  "a EXECUTE" }) {
    CHECK(ReadStatement(text).mKind == StatementKind::Malformed);
  }
}

TEST_CASE("Requests to servers are written", "[WireText]")
{
  BackendRequest request;
  request.mId = "5c0e";
  request.mVerb = BackendVerb::Run;
  request.mText = "READ 1a4";
  request.mAfter = Position{ 3, 1207 };
  CHECK(WriteRequest(request) == "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n");
  request = BackendRequest{};
  request.mVerb = BackendVerb::Pause;
  request.mTerm = 8;
  CHECK(WriteRequest(request) == "QUERY - PAUSE 8\r\n");
  request = BackendRequest{};
  request.mVerb = BackendVerb::Prepare;
  request.mName = "p1";
  request.mWrites = true;
  request.mArgument = "q2c";
  CHECK(WriteRequest(request) == "QUERY - PREPARE p1 WRITE q2c\r\n");
}

TEST_CASE("Answers to callers are written", "[WireText]")
{
  gateway::AnswerCaller answer;
  answer.mRows = { "qhz" };
  answer.mSignature = "7.1f3";
  answer.mPosition = Position{ 3, 1209 };
  CHECK(WriteAnswer(answer) ==
        "ROW qhz\r\nCOMPLETE 7.1f3\r\nREADY I 3.1209\r\n");
  answer = gateway::AnswerCaller{};
  answer.mCode = ResultCode::ConnectionLost;
  answer.mErrorText = "lost";
  answer.mState = TransactionState::Failed;
  CHECK(WriteAnswer(answer) == "ERROR INDOUBT lost\r\nREADY E -\r\n");
}

TEST_CASE("Every code that callers may get has a word", "[WireText]")
{
  CHECK(WriteError(ResultCode::Stopping, "x") == "ERROR BUSY x\r\n");
  CHECK(WriteError(ResultCode::UnknownDatabase, "x") ==
        "ERROR NODATABASE x\r\n");
  CHECK(WriteError(ResultCode::TransactionAborted, "x") ==
        "ERROR ABORTED x\r\n");
  CHECK(WriteError(ResultCode::DeadlineExceeded, "x") == "ERROR TIMEOUT x\r\n");
}

TEST_CASE("A connection is opened in the name of an account", "[WireText]")
{
  CHECK(WriteStartup("g", "acme", "i-1") == "STARTUP g acme i-1\r\n");
  CHECK(WriteStartup("g", "", "i-1") == "STARTUP g camphorstep i-1\r\n");
}

TEST_CASE("An unconfirmed configuration is a promise that nothing ran",
          "[WireText]")
{
  CHECK(WriteError(ResultCode::ConfigurationStale, "old") ==
        "ERROR BUSY old\r\n");
  CHECK(WriteError(ResultCode::Unauthenticated, "key") ==
        "ERROR UNAUTH key\r\n");
}

TEST_CASE("The state that ends a server's answer is read", "[WireText]")
{
  BackendReply reply;
  REQUIRE(ReadReady("T 3.1209", reply));
  CHECK(reply.mState == TransactionState::Open);
  CHECK(reply.mPosition == Position{ 3, 1209 });
  BackendReply none;
  REQUIRE(ReadReady("I -", none));
  CHECK_FALSE(none.mPosition);
  for (const char* const text : { "", "X -", "I", "I 3", "I 3.", "I 3.x" }) {
    BackendReply bad;
    CHECK_FALSE(ReadReady(text, bad));
  }
}

TEST_CASE("Status rows are read", "[WireText]")
{
  const auto status = ReadStatus("replica 3 3.1209 5 12 2 17");
  REQUIRE(status);
  CHECK_FALSE(status->mPrimary);
  CHECK(status->mTerm == 3);
  CHECK(status->mReceived == Position{ 3, 1209 });
  CHECK(status->mPauseTerm == 5);
  CHECK(status->mLag == std::chrono::milliseconds(12));
  CHECK(status->mBusySlots == 2);
  CHECK(status->mConnections == 17);
  CHECK_FALSE(ReadStatus("replica 3"));
  CHECK_FALSE(ReadStatus("replica x 3.1 0 0 0 0"));
}
