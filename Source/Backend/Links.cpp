#include "Backend/Links.h"

#include <algorithm>

#include "Backend/Admission.h"
#include "Backend/Pool.h"
#include "Gateway/Tuning.h"
#include "Group/ControlLinks.h"
#include "Group/Sampling.h"
#include "Session/Execution.h"
#include "Session/Outcomes.h"

namespace camphorstep::gateway {

namespace {

void
NotePosition(Backend& aBackend, const std::optional<Position>& aPosition)
{
  if (aPosition) {
    aBackend.mApplied = std::max(aBackend.mApplied, *aPosition);
  }
}

/// A connection whose session values may not be what they should be must not
/// carry any statement.
void
HandlePreparationReply(Context& aContext,
                       const Link& aLink,
                       const BackendReply& aReply)
{
  if (aReply.mCode == ResultCode::Ok) {
    return;
  }
  Log(aContext,
      LogSeverity::Warning,
      "backend server refused to prepare a connection; closing it",
      { { "code", std::string(NameOf(aReply.mCode)) },
        { "error", aReply.mErrorText } });
  const Link lost = aLink;
  DropLink(aContext, lost.mId);
  HandleLostLink(aContext, lost);
}

/// Notes what the refusal of a connection says about the server.
void
NoteRefusedOpening(Context& aContext,
                   Backend& aBackend,
                   const LinkClosed& aEvent)
{
  if (aEvent.mCode == ResultCode::TooManyConnections) {
    aBackend.mFullUntil = aContext.mNow + kServerFullTimeout;
    aBackend.mOpenAfter = aContext.mNow + kServerFullRetryDelay;
    return;
  }
  aBackend.mOpenAfter = aContext.mNow + kOpenRetryDelay;
  const bool isRefusedByMachine =
    aEvent.mIsClosedByPeer && aEvent.mCode == ResultCode::Ok;
  aBackend.mRefusals += isRefusedByMachine ? 1 : 0;
}

void
HandleRollbackReply(Context& aContext, Link& aLink, const BackendReply& aReply)
{
  if (aReply.mState != TransactionState::None) {
    DropLink(aContext, aLink.mId);
    return;
  }
  ReleaseLink(aContext, aLink);
}

}

void
HandleLinkReady(Context& aContext, const LinkReady& aEvent)
{
  Link* const link = Find(aContext.mState.mLinks, aEvent.mLink);
  if (link == nullptr) {
    return;
  }
  link->mReady = true;
  link->mIdleSince = aContext.mNow;
  Backend& backend = aContext.mState.mBackends.at(link->mServer);
  backend.mLastReceivedAt = aContext.mNow;
  backend.mRefusals = 0;
  NotePosition(backend, aEvent.mPosition);
  if (link->mControl) {
    RequestStatus(aContext, backend);
    return;
  }
  --backend.mOpening;
  ReleaseLink(aContext, *link);
}

void
HandleLinkClosed(Context& aContext, const LinkClosed& aEvent)
{
  const Link* const found = Find(aContext.mState.mLinks, aEvent.mLink);
  if (found == nullptr) {
    return;
  }
  const Link link = *found;
  ForgetLink(aContext, link.mId);
  Backend& backend = aContext.mState.mBackends.at(link.mServer);
  ++aContext.mState.mCounters.mLinksLost;
  Log(aContext,
      LogSeverity::Info,
      link.mReady ? "connection to a backend server was lost"
                  : "connection to a backend server was refused",
      { { "server", backend.mEntry.mName },
        { "code", std::string(NameOf(aEvent.mCode)) },
        { "control", link.mControl ? "yes" : "no" } });
  if (!link.mReady) {
    NoteRefusedOpening(aContext, backend, aEvent);
  }
  NoteLostConnection(aContext, backend, link.mControl);
  HandleLostLink(aContext, link);
  if (aEvent.mCode == ResultCode::TooManyConnections) {
    // Another server may have a connection for what waits.
    RerouteQueue(aContext, backend);
  }
  if (!backend.mQueue.empty()) {
    aContext.mState.mTimers.ArmSooner(
      TimerKind::Pool, backend.mId.mValue, backend.mOpenAfter);
  }
}

void
HandleLinkReplied(Context& aContext, const LinkReplied& aEvent)
{
  Link* const link = Find(aContext.mState.mLinks, aEvent.mLink);
  if (link == nullptr) {
    return;
  }
  Backend& backend = aContext.mState.mBackends.at(link->mServer);
  if (link->mExchanges.empty()) {
    Log(aContext,
        LogSeverity::Warning,
        "backend server sent an answer without a request; closing the "
        "connection",
        { { "server", backend.mEntry.mName } });
    const Link lost = *link;
    DropLink(aContext, lost.mId);
    HandleLostLink(aContext, lost);
    return;
  }
  const Exchange exchange = link->mExchanges.front();
  link->mExchanges.pop_front();
  backend.mLastReceivedAt = aContext.mNow;
  NotePosition(backend, aEvent.mReply.mPosition);
  switch (exchange.mKind) {
    case ExchangeKind::Preparation:
      HandlePreparationReply(aContext, *link, aEvent.mReply);
      break;
    case ExchangeKind::Begin:
      --backend.mRunning;
      HandleBeginReply(aContext, *link, aEvent.mReply);
      break;
    case ExchangeKind::Statement:
      --backend.mRunning;
      RecordResponse(backend.mPace, aContext.mNow - exchange.mSentAt);
      HandleStatementReply(aContext, *link, aEvent.mReply);
      break;
    case ExchangeKind::Rollback:
      HandleRollbackReply(aContext, *link, aEvent.mReply);
      break;
    case ExchangeKind::Status:
      HandleControlAnswer(
        aContext, backend, aEvent.mLink, aContext.mNow - exchange.mSentAt);
      HandleStatusReply(aContext, backend, aEvent.mReply, exchange.mSentAt);
      break;
  }
  DispatchQueue(aContext, backend);
}

}
