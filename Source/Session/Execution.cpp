#include "Session/Execution.h"

#include <utility>

#include "Backend/Pool.h"
#include "Backend/Preparation.h"
#include "Gateway/Tuning.h"
#include "Group/Evidence.h"
#include "Session/Authorization.h"
#include "Session/Routing.h"
#include "Session/Sessions.h"
#include "Session/Transactions.h"

namespace camphorstep::gateway {

namespace {

void
SendBegin(Context& aContext,
          Session& aSession,
          Link& aLink,
          std::optional<Position> aAfter)
{
  ActiveStatement& active = *aSession.mActive;
  active.mStage = StatementStage::Beginning;
  active.mServer = aLink.mServer;
  active.mLink = aLink.mId;
  ++active.mAttempts;
  aSession.mTransaction.mLink = aLink.mId;
  PrepareLink(aContext, aLink, aSession, active.mStatement);
  BackendRequest request;
  request.mVerb = aSession.mTransaction.mReadOnly ? BackendVerb::BeginReadOnly
                                                  : BackendVerb::Begin;
  request.mAfter = aAfter;
  SendRequest(aContext, aLink, request, ExchangeKind::Begin);
}

void
SendStatement(Context& aContext,
              Session& aSession,
              Link& aLink,
              std::optional<Position> aAfter)
{
  ActiveStatement& active = *aSession.mActive;
  active.mStage = StatementStage::Running;
  active.mServer = aLink.mServer;
  active.mLink = aLink.mId;
  active.mSentAt = aContext.mNow;
  ++active.mAttempts;
  aLink.mSession = aSession.mId;
  PrepareLink(aContext, aLink, aSession, active.mStatement);
  BackendRequest request;
  request.mId = active.mStatement.mId;
  request.mAfter = aAfter;
  request.mVerb = BackendVerb::Run;
  request.mText = active.mStatement.mText;
  if (active.mStatement.mKind == StatementKind::Commit) {
    request.mVerb = BackendVerb::Commit;
  }
  if (active.mStatement.mKind == StatementKind::Execute) {
    request.mVerb = BackendVerb::Execute;
    request.mName =
      ServerSideName(aSession.mPrepared.at(active.mStatement.mName));
    request.mArgument = active.mStatement.mArgument;
  }
  SendRequest(aContext, aLink, std::move(request), ExchangeKind::Statement);
  aContext.mState.mTimers.Arm(
    TimerKind::Statement, aSession.mId.mValue, active.mDeadline);
}

}

void
RunActiveStatement(Context& aContext, Session& aSession)
{
  if (!AuthorizeActive(aContext, aSession)) {
    return;
  }
  const LinkId pinned = aSession.mTransaction.mLink;
  if (!pinned) {
    RouteStatement(aContext, aSession);
    return;
  }
  if (Link* const link = Find(aContext.mState.mLinks, pinned)) {
    SendStatement(aContext, aSession, *link, std::nullopt);
  }
}

void
StartOnLink(Context& aContext, Session& aSession, Link& aLink)
{
  const SessionId id = aSession.mId;
  if (!AuthorizeActive(aContext, aSession)) {
    ContinueSession(aContext, id);
    return;
  }
  Backend* const backend = Find(aContext.mState.mBackends, aLink.mServer);
  Group* const group = Find(aContext.mState.mGroups, backend->mGroup);
  aSession.mActive->mStage = StatementStage::AwaitingServer;
  // The primary or the required position may have changed while the statement
  // was queued.
  std::optional<Position> after;
  const bool isPrimary = group != nullptr &&
                         ConfirmedPrimary(aContext, *group) == backend &&
                         !IsHeldBack(aContext, aSession, *group);
  if (!isPrimary) {
    const auto required = NeedsPrimary(aContext, aSession)
                            ? std::nullopt
                            : RequiredReplicaPosition(aContext, aSession);
    if (!required) {
      RouteStatement(aContext, aSession);
      return;
    }
    after = required->mPosition;
  }
  aLink.mSession = aSession.mId;
  if (InTransaction(aSession)) {
    SendBegin(aContext, aSession, aLink, after);
    return;
  }
  SendStatement(aContext, aSession, aLink, after);
}

void
HandleRetryTimer(Context& aContext, SessionId aSession)
{
  Session* const session = Find(aContext.mState.mSessions, aSession);
  if (session != nullptr && session->mActive &&
      session->mActive->mStage == StatementStage::AwaitingRetry) {
    RunActiveStatement(aContext, *session);
    ContinueSession(aContext, aSession);
  }
}

void
AbandonStatement(Context& aContext, Session& aSession)
{
  if (!aSession.mActive) {
    return;
  }
  LeaveQueue(aContext, aSession);
  const ActiveStatement& active = *aSession.mActive;
  const bool atServer = active.mStage == StatementStage::Running ||
                        active.mStage == StatementStage::Beginning;
  if (atServer && !aSession.mTransaction.mLink) {
    DropLink(aContext, active.mLink);
  }
  aSession.mActive.reset();
}

}
