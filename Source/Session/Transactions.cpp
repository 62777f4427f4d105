#include "Session/Transactions.h"

#include "Backend/Pool.h"
#include "Session/Answers.h"
#include "Session/Authorization.h"
#include "Session/Routing.h"

namespace camphorstep::gateway {

bool
InTransaction(const Session& aSession)
{
  return aSession.mTransaction.mState == TransactionState::Open;
}

void
BeginTransaction(Context& aContext, Session& aSession, bool aReadOnly)
{
  Transaction& transaction = aSession.mTransaction;
  if (transaction.mState != TransactionState::None) {
    AnswerError(aContext,
                aSession,
                "",
                ResultCode::MalformedRequest,
                "a transaction is open already");
    return;
  }
  const Route* const route = RouteOf(aContext, aSession);
  if (route == nullptr) {
    AnswerError(aContext,
                aSession,
                "",
                ResultCode::UnknownDatabase,
                "no route has that name");
    return;
  }
  transaction = Transaction{};
  transaction.mRoute = *route;
  transaction.mIsPublic = IsOnPublicRoute(aContext, aSession);
  transaction.mState = TransactionState::Open;
  transaction.mReadOnly = aReadOnly;
  AnswerOk(aContext, aSession);
}

void
ReleaseTransactionLink(Context& aContext, Session& aSession)
{
  const LinkId id = aSession.mTransaction.mLink;
  aSession.mTransaction.mLink = LinkId{};
  Link* const link = Find(aContext.mState.mLinks, id);
  if (link == nullptr) {
    return;
  }
  if (!link->mExchanges.empty()) {
    DropLink(aContext, id);
    return;
  }
  link->mSession = SessionId{};
  BackendRequest request;
  request.mVerb = BackendVerb::Rollback;
  SendRequest(aContext, *link, request, ExchangeKind::Rollback);
}

void
RollbackTransaction(Context& aContext, Session& aSession)
{
  ReleaseTransactionLink(aContext, aSession);
  aSession.mTransaction = Transaction{};
}

void
FailTransaction(Context& aContext, Session& aSession)
{
  if (aSession.mTransaction.mState != TransactionState::Open) {
    return;
  }
  ReleaseTransactionLink(aContext, aSession);
  aSession.mTransaction.mState = TransactionState::Failed;
}

}
