#include "Session/Sessions.h"

#include <algorithm>
#include <utility>

#include "Backend/Pool.h"
#include "Gateway/Stopping.h"
#include "Gateway/Tuning.h"
#include "RateLimits/RateLimits.h"
#include "Relay/RelayedSessions.h"
#include "Session/Answers.h"
#include "Session/Authorization.h"
#include "Session/Execution.h"
#include "Session/Routing.h"
#include "Session/SessionMemory.h"
#include "Session/Transactions.h"

namespace camphorstep::gateway {

namespace {

/// Answers a statement whose value or name the session keeps, or could not keep
/// within its limit.
void
AnswerKept(Context& aContext,
           Session& aSession,
           const Statement& aStatement,
           bool aIsKept)
{
  if (aIsKept) {
    AnswerOk(aContext, aSession);
    return;
  }
  AnswerError(aContext,
              aSession,
              aStatement.mId,
              ResultCode::RequestTooLarge,
              "the session keeps too many values and prepared statements");
}

/// Answers a statement that concerns only the session's state. Returns false
/// for a statement that a server has to run.
bool
AnswerLocally(Context& aContext, Session& aSession, const Statement& aStatement)
{
  switch (aStatement.mKind) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
      BeginTransaction(
        aContext, aSession, aStatement.mKind == StatementKind::BeginReadOnly);
      return true;
    case StatementKind::Rollback:
      RollbackTransaction(aContext, aSession);
      AnswerOk(aContext, aSession);
      return true;
    case StatementKind::SetValue:
      AnswerKept(aContext,
                 aSession,
                 aStatement,
                 KeepValue(aContext, aSession, aStatement));
      return true;
    case StatementKind::Prepare:
      AnswerKept(aContext,
                 aSession,
                 aStatement,
                 KeepPrepared(aContext, aSession, aStatement));
      return true;
    case StatementKind::Deallocate:
      ForgetPrepared(aSession, aStatement.mName);
      AnswerOk(aContext, aSession);
      return true;
    case StatementKind::Malformed:
      AnswerError(aContext,
                  aSession,
                  aStatement.mId,
                  ResultCode::MalformedRequest,
                  "the statement cannot be read");
      return true;
    default:
      return false;
  }
}

/// Answers, with an error, statements in a failed transaction other than a
/// rollback, and a commit without a transaction. Returns false if the
/// transaction's state allows the statement.
bool
RejectByTransactionState(Context& aContext,
                         Session& aSession,
                         const Statement& aStatement)
{
  Transaction& transaction = aSession.mTransaction;
  if (aStatement.mKind == StatementKind::Rollback) {
    return false;
  }
  if (transaction.mState != TransactionState::Failed) {
    const bool isCommit = aStatement.mKind == StatementKind::Commit;
    if (!isCommit || transaction.mState == TransactionState::Open) {
      return false;
    }
    AnswerError(aContext,
                aSession,
                aStatement.mId,
                ResultCode::MalformedRequest,
                "no transaction is open");
    return true;
  }
  if (aStatement.mKind == StatementKind::Commit) {
    transaction = Transaction{};
    AnswerError(aContext,
                aSession,
                aStatement.mId,
                ResultCode::TransactionAborted,
                "the transaction was rolled back");
    return true;
  }
  const bool isUnreported =
    std::exchange(transaction.mIsAbortUnreported, false);
  AnswerError(aContext,
              aSession,
              aStatement.mId,
              isUnreported ? ResultCode::TransactionAborted
                           : ResultCode::MalformedRequest,
              "the transaction was rolled back");
  return true;
}

/// Makes a statement the active one and routes it to a server, or answers it
/// with an error if its route or prepared statement does not exist.
void
ActivateStatement(Context& aContext,
                  Session& aSession,
                  const Statement& aStatement)
{
  const Route* const route = RouteOf(aContext, aSession);
  if (route == nullptr) {
    FailTransaction(aContext, aSession);
    AnswerError(aContext,
                aSession,
                aStatement.mId,
                ResultCode::UnknownDatabase,
                "no route has that name");
    return;
  }
  if (aStatement.mKind == StatementKind::Execute &&
      !aSession.mPrepared.contains(aStatement.mName)) {
    FailTransaction(aContext, aSession);
    AnswerError(aContext,
                aSession,
                aStatement.mId,
                ResultCode::UnknownStatement,
                "no statement is prepared under that name");
    return;
  }
  ActiveStatement active;
  active.mStatement = aStatement;
  active.mArrivedAt = aContext.mNow;
  active.mDeadline = aContext.mNow + route->mStatementTimeout;
  active.mQueueDeadline = active.mDeadline;
  active.mPlace = { route->mUrgency, ++aContext.mState.mLastId };
  aSession.mActive = std::move(active);
  aContext.mState.mTimers.Arm(
    TimerKind::Statement, aSession.mId.mValue, aSession.mActive->mDeadline);
  if (RequestAllowance(aContext, aSession)) {
    StartActiveStatement(aContext, aSession);
  }
}

}

void
StartActiveStatement(Context& aContext, Session& aSession)
{
  RunActiveStatement(aContext, aSession);
  if (aSession.mActive && IsWaitHopeless(aContext, aSession)) {
    LeaveQueue(aContext, aSession);
    FailTransaction(aContext, aSession);
    FailStatement(aContext,
                  aSession,
                  ResultCode::Overloaded,
                  "too many statements are waiting for the backend server");
  }
}

namespace {

void
StartStatement(Context& aContext,
               Session& aSession,
               const Statement& aStatement)
{
  aSession.mIsStatementExpected = aStatement.mKind == StatementKind::SetValue ||
                                  aStatement.mKind == StatementKind::Prepare ||
                                  aStatement.mKind == StatementKind::Deallocate;
  aContext.mState.mTimers.Cancel(TimerKind::IdleTransaction,
                                 aSession.mId.mValue);
  if (RejectByTransactionState(aContext, aSession, aStatement) ||
      !AuthorizeStatement(aContext, aSession, aStatement) ||
      AnswerLocally(aContext, aSession, aStatement)) {
    return;
  }
  ActivateStatement(aContext, aSession, aStatement);
}

Session
MakeSession(const Context& aContext, const SessionOpened& aEvent)
{
  Session session;
  session.mId = aEvent.mSession;
  session.mIdleSince = aContext.mNow;
  session.mDatabase = aEvent.mDatabase;
  session.mKey = aEvent.mKey;
  return session;
}

void
KeepSession(Context& aContext, Session aSession)
{
  const SessionId id = aSession.mId;
  aContext.mState.mSessions.emplace(id, std::move(aSession));
  ++aContext.mState.mCounters.mSessions;
}

}

void
OpenSession(Context& aContext, const SessionOpened& aEvent, SessionPlace aPlace)
{
  const Catalogue& catalogue = aContext.mState.mCatalogue;
  if (IsRefusingSessions(aContext)) {
    Emit(aContext,
         RefuseSession{
           aEvent.mSession, ResultCode::Stopping, "the host is stopping" });
    return;
  }
  if (catalogue.mRoutingVersion == 0) {
    Emit(aContext,
         RefuseSession{ aEvent.mSession,
                        ResultCode::NoConfiguration,
                        "no configuration is known yet" });
    return;
  }
  if (!catalogue.mRoutes.contains(aEvent.mDatabase)) {
    LogRefusal(
      aContext,
      "session refused: no route has that name",
      { { "database", aEvent.mDatabase },
        { "configuration", std::to_string(catalogue.mRoutingVersion) } });
    Emit(aContext,
         RefuseSession{ aEvent.mSession,
                        ResultCode::UnknownDatabase,
                        "no route has that name" });
    return;
  }
  Session session = MakeSession(aContext, aEvent);
  if (!AuthorizeSession(aContext, session)) {
    return;
  }
  if (aPlace == SessionPlace::AnyHost && RelaySession(aContext, aEvent)) {
    return;
  }
  KeepSession(aContext, std::move(session));
  Emit(aContext, AcceptSession{ aEvent.mSession });
}

void
OpenLocalSession(Context& aContext, const SessionOpened& aEvent)
{
  // Its statements find the account of its key.
  KeepSession(aContext, MakeSession(aContext, aEvent));
}

void
HandleSessionOpened(Context& aContext, const SessionOpened& aEvent)
{
  OpenSession(aContext, aEvent, SessionPlace::AnyHost);
}

void
HandleStatementReceived(Context& aContext, const StatementReceived& aEvent)
{
  Session* const session = Find(aContext.mState.mSessions, aEvent.mSession);
  if (session == nullptr) {
    HandleRelayedStatement(aContext, aEvent);
    return;
  }
  if (session->mPipeline.size() >= kMaxPipeline) {
    Log(aContext,
        LogSeverity::Warning,
        "caller sent too many statements ahead; closing its session",
        { { "request", aEvent.mStatement.mId } });
    Emit(aContext, CloseSession{ aEvent.mSession });
    HandleSessionEnded(aContext, SessionEnded{ aEvent.mSession });
    return;
  }
  session->mPipeline.push_back(aEvent.mStatement);
  ContinueSession(aContext, aEvent.mSession);
}

void
ContinueSession(Context& aContext, SessionId aSession)
{
  Session* session = Find(aContext.mState.mSessions, aSession);
  while (session != nullptr && !session->mActive &&
         !session->mPipeline.empty()) {
    const Statement statement = std::move(session->mPipeline.front());
    session->mPipeline.pop_front();
    StartStatement(aContext, *session, statement);
    session = Find(aContext.mState.mSessions, aSession);
  }
  if (session == nullptr) {
    return;
  }
  ReportMemory(aContext, *session);
  if (session->mActive) {
    return;
  }
  session->mIdleSince = aContext.mNow;
  if (session->mTransaction.mState == TransactionState::Open) {
    aContext.mState.mTimers.Arm(
      TimerKind::IdleTransaction,
      aSession.mValue,
      aContext.mNow + aContext.mState.mCatalogue.mTransactionIdleTimeout);
  }
  CloseIdleSessionAtStop(aContext, *session);
}

void
HandleSessionEnded(Context& aContext, const SessionEnded& aEvent)
{
  Session* const session = Find(aContext.mState.mSessions, aEvent.mSession);
  if (session == nullptr) {
    EndRelayedSession(aContext, aEvent.mSession);
    return;
  }
  AbandonStatement(aContext, *session);
  RollbackTransaction(aContext, *session);
  for (const TimerKind kind :
       { TimerKind::Statement, TimerKind::Retry, TimerKind::IdleTransaction }) {
    aContext.mState.mTimers.Cancel(kind, aEvent.mSession.mValue);
  }
  aContext.mState.mSessions.erase(aEvent.mSession);
  CompleteStopIfIdle(aContext);
}

void
EndIdleTransaction(Context& aContext, SessionId aSession)
{
  Session* const session = Find(aContext.mState.mSessions, aSession);
  if (session == nullptr || session->mActive ||
      session->mTransaction.mState != TransactionState::Open) {
    return;
  }
  Log(aContext,
      LogSeverity::Info,
      "transaction rolled back: idle for too long",
      { { "session", std::to_string(aSession.mValue) },
        { "database", session->mDatabase } });
  FailTransaction(aContext, *session);
  session->mTransaction.mIsAbortUnreported = true;
}

}
