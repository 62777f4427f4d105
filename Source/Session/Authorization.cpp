#include "Session/Authorization.h"

#include <string>
#include <utility>

#include "Backend/Pool.h"
#include "Catalogue/Tables.h"
#include "Session/Answers.h"
#include "Session/Transactions.h"

namespace camphorstep::gateway {

namespace {

/// Whether a statement begins, continues or commits work on a server. Others
/// concern only the session's own state, and a rollback is always allowed.
bool
ConcernsServer(StatementKind aKind)
{
  switch (aKind) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
    case StatementKind::Commit:
    case StatementKind::Read:
    case StatementKind::Write:
    case StatementKind::Execute:
      return true;
    default:
      return false;
  }
}

CallerIdentity
CallerOf(const Context& aContext, const Session& aSession)
{
  return { aSession.mKey, IsOnPublicRoute(aContext, aSession) };
}

ResultCode
CodeOf(Access aAccess)
{
  switch (aAccess) {
    case Access::Granted:
      return ResultCode::Ok;
    case Access::UnknownKey:
      return ResultCode::Unauthenticated;
    case Access::OtherAccount:
      return ResultCode::TransactionAborted;
    case Access::Unconfirmed:
      break;
  }
  return ResultCode::ConfigurationStale;
}

std::string
ReasonOf(Access aAccess)
{
  switch (aAccess) {
    case Access::Granted:
      return "";
    case Access::UnknownKey:
      return "no client account has the key";
    case Access::OtherAccount:
      return "the key belongs to another client account now";
    case Access::Unconfirmed:
      break;
  }
  return "the configuration has not been confirmed in time";
}

void
CountRefusal(RefusalCounters& aCounters, Access aAccess)
{
  switch (aAccess) {
    case Access::Granted:
      break;
    case Access::UnknownKey:
      ++aCounters.mUnknownKey;
      break;
    case Access::OtherAccount:
      ++aCounters.mOtherAccount;
      break;
    case Access::Unconfirmed:
      ++aCounters.mOutOfDate;
      break;
  }
}

/// Rolls the session's transaction back. After a refused commit none is left;
/// after other statements the caller still has to end it.
void
EndTransaction(Context& aContext, Session& aSession, StatementKind aKind)
{
  FailTransaction(aContext, aSession);
  if (aKind == StatementKind::Commit) {
    aSession.mTransaction = Transaction{};
  }
}

/// Decides on a statement that is about to be handled. Outside of a
/// transaction it is a new operation, in the name of the account that has the
/// key now.
Access
DecideStatement(const Context& aContext,
                const AccountTable& aAccounts,
                Session& aSession)
{
  const CallerIdentity caller = CallerOf(aContext, aSession);
  const Confirmation confirmation = ConfirmationOfRouting(aContext);
  if (InTransaction(aSession)) {
    return DecideContinuation(
      aAccounts, caller, confirmation, aSession.mAccount);
  }
  const AccessDecision decision = DecideAccess(aAccounts, caller, confirmation);
  if (decision.mAccess == Access::Granted) {
    aSession.mAccount = decision.mAccount;
  }
  return decision.mAccess;
}

}

bool
IsOnPublicRoute(const Context& aContext, const Session& aSession)
{
  if (aSession.mTransaction.mState != TransactionState::None) {
    return aSession.mTransaction.mIsPublic;
  }
  const auto& accounts = aContext.mState.mCatalogue.mAccounts;
  return accounts && IsPublic(*accounts, aSession.mDatabase);
}

bool
AuthorizeSession(Context& aContext, Session& aSession)
{
  const auto& accounts = aContext.mState.mCatalogue.mAccounts;
  if (!accounts) {
    return true;
  }
  const AccessDecision decision = DecideAccess(
    *accounts, CallerOf(aContext, aSession), ConfirmationOfRouting(aContext));
  if (decision.mAccess == Access::Granted) {
    aSession.mAccount = decision.mAccount;
    return true;
  }
  State& state = aContext.mState;
  CountRefusal(state.mCounters.mRefusedSessions, decision.mAccess);
  LogLimited(
    aContext,
    state.mRefusedSessionLog,
    LogSeverity::Info,
    "session refused",
    { { "session", std::to_string(aSession.mId.mValue) },
      { "database", aSession.mDatabase },
      { "configuration", std::to_string(state.mCatalogue.mRoutingVersion) },
      { "reason", ReasonOf(decision.mAccess) } });
  Emit(aContext,
       RefuseSession{
         aSession.mId, CodeOf(decision.mAccess), ReasonOf(decision.mAccess) });
  return false;
}

bool
AuthorizeStatement(Context& aContext,
                   Session& aSession,
                   const Statement& aStatement)
{
  State& state = aContext.mState;
  const auto& accounts = state.mCatalogue.mAccounts;
  if (!ConcernsServer(aStatement.mKind)) {
    return true;
  }
  if (!accounts) {
    aSession.mAccount = AccountId{};
    return true;
  }
  const Access access = DecideStatement(aContext, *accounts, aSession);
  if (access == Access::Granted) {
    return true;
  }
  EndTransaction(aContext, aSession, aStatement.mKind);
  CountRefusal(state.mCounters.mRefusedStatements, access);
  LogLimited(
    aContext,
    state.mRefusedStatementLog,
    LogSeverity::Info,
    "statement refused for the caller's key",
    { { "request", aStatement.mId },
      { "session", std::to_string(aSession.mId.mValue) },
      { "database", aSession.mDatabase },
      { "configuration", std::to_string(state.mCatalogue.mRoutingVersion) },
      { "reason", ReasonOf(access) } });
  AnswerCaller answer;
  answer.mSession = aSession.mId;
  answer.mCode = CodeOf(access);
  answer.mErrorText = ReasonOf(access);
  answer.mState = aSession.mTransaction.mState;
  Emit(aContext, std::move(answer));
  return false;
}

bool
AuthorizeActive(Context& aContext, Session& aSession)
{
  const auto& accounts = aContext.mState.mCatalogue.mAccounts;
  if (!accounts) {
    aSession.mAccount = AccountId{};
    return true;
  }
  const Access access = DecideContinuation(*accounts,
                                           CallerOf(aContext, aSession),
                                           ConfirmationOfRouting(aContext),
                                           aSession.mAccount);
  if (access == Access::Granted) {
    return true;
  }
  CountRefusal(aContext.mState.mCounters.mRefusedStatements, access);
  LeaveQueue(aContext, aSession);
  EndTransaction(aContext, aSession, aSession.mActive->mStatement.mKind);
  FailStatement(aContext, aSession, CodeOf(access), ReasonOf(access));
  return false;
}

}
