#include "Relay/RelayedSessions.h"

#include <algorithm>
#include <utility>

#include "Gateway/Stopping.h"
#include "Gateway/Tuning.h"
#include "Relay/Interruption.h"
#include "Relay/Owners.h"
#include "Relay/RelayTuning.h"
#include "Session/Sessions.h"

namespace camphorstep::gateway {

namespace {

/// One in this many sessions that are passed on is logged.
constexpr std::uint64_t kRelayLogInterval = 128;

/// Whether a statement that was sent can have reached the owner.
enum class Delivery : std::uint8_t
{
  Excluded,
  Possible,
};

RelayedSession*
FindSession(Context& aContext, SessionId aSession)
{
  return Find(aContext.mState.mRelays.mSessions, aSession);
}

RelayedSession*
FindSession(Context& aContext, RelayId aRelay)
{
  const SessionId* const id = Find(aContext.mState.mRelays.mSessionIds, aRelay);
  return id == nullptr ? nullptr : FindSession(aContext, *id);
}

std::vector<SessionId>
AllSessions(const Context& aContext)
{
  std::vector<SessionId> ids;
  for (const auto& [id, session] : aContext.mState.mRelays.mSessions) {
    ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

bool
IsIdle(const RelayedSession& aSession)
{
  return !aSession.mSent && aSession.mHeld.empty() &&
         aSession.mStage != RelayStage::Opening;
}

/// Returns the owner for a session's next opening, or nullptr if this host is
/// to run it itself.
const HostEntry*
OwnerFor(const Context& aContext, const std::string& aDatabase)
{
  const State& state = aContext.mState;
  const Route* const route = Find(state.mCatalogue.mRoutes, aDatabase);
  if (route == nullptr || !state.mSelf.mIsRelaying) {
    return nullptr;
  }
  const Group* const group = Find(state.mGroups, IdOf<GroupId>(route->mGroup));
  if (group == nullptr || !AreConnectionsScarce(aContext, *group)) {
    return nullptr;
  }
  const HostEntry* const owner = ChooseOwner(aContext, route->mGroup);
  const std::size_t* const count =
    owner == nullptr ? nullptr
                     : Find(state.mRelays.mSessionCounts, owner->mName);
  const bool isFull = count != nullptr && *count >= kMaxRelayedSessions;
  return isFull ? nullptr : owner;
}

void
OpenAt(Context& aContext, RelayedSession& aSession, const HostEntry& aOwner)
{
  aSession.mStage = RelayStage::Opening;
  aSession.mOwner = aOwner.mName;
  aSession.mRelay = NewId<RelayId>(aContext);
  aSession.mSentCount = 0;
  RelayState& relays = aContext.mState.mRelays;
  relays.mSessionIds.emplace(aSession.mRelay, aSession.mId);
  ++relays.mSessionCounts[aSession.mOwner];
  NoteOwnerProbe(aContext, aSession.mOwner);
  const std::uint64_t count = ++aContext.mState.mCounters.mSessionsRelayed;
  if (count % kRelayLogInterval == 1) {
    Log(aContext,
        LogSeverity::Info,
        "session is passed on to the owner of connections",
        { { "session", std::to_string(aSession.mId.mValue) },
          { "relay", std::to_string(aSession.mRelay.mValue) },
          { "database", aSession.mDatabase },
          { "host", aSession.mOwner } });
  }
  Emit(aContext,
       OpenRelay{ aSession.mRelay,
                  aSession.mOwner,
                  aOwner.mPeerAddress,
                  aSession.mDatabase,
                  aSession.mKey });
  aContext.mState.mTimers.Arm(
    TimerKind::Relay, aSession.mId.mValue, aContext.mNow + kRelayOpenTimeout);
}

/// Ends the session at its owner.
void
LeaveOwner(Context& aContext, RelayedSession& aSession)
{
  if (!aSession.mRelay) {
    return;
  }
  RelayState& relays = aContext.mState.mRelays;
  Emit(aContext, EndRelay{ aSession.mRelay, aSession.mOwner });
  relays.mSessionIds.erase(aSession.mRelay);
  if (--relays.mSessionCounts[aSession.mOwner] == 0) {
    relays.mSessionCounts.erase(aSession.mOwner);
  }
  aSession.mRelay = RelayId{};
  aContext.mState.mTimers.Cancel(TimerKind::Relay, aSession.mId.mValue);
}

/// Has this host run a session itself from now on. Nothing of it has run
/// elsewhere that it depends on.
void
RunLocally(Context& aContext, RelayedSession& aSession)
{
  LeaveOwner(aContext, aSession);
  const RelayedSession former = std::move(aSession);
  aContext.mState.mRelays.mSessions.erase(former.mId);
  ++aContext.mState.mCounters.mRelayFallbacks;
  SessionOpened opened;
  opened.mSession = former.mId;
  opened.mDatabase = former.mDatabase;
  opened.mKey = former.mKey;
  if (former.mIsAccepted) {
    OpenLocalSession(aContext, opened);
  } else {
    OpenSession(aContext, opened, SessionPlace::ThisHost);
  }
  for (const Statement& statement : former.mHeld) {
    HandleStatementReceived(aContext,
                            StatementReceived{ former.mId, statement });
  }
}

/// Opens a session at another owner, or has this host run it.
void
Replace(Context& aContext, RelayedSession& aSession)
{
  if (const HostEntry* const owner = OwnerFor(aContext, aSession.mDatabase)) {
    OpenAt(aContext, aSession, *owner);
  } else {
    RunLocally(aContext, aSession);
  }
}

void
AnswerBySelf(Context& aContext,
             RelayedSession& aSession,
             const Statement& aStatement,
             const InterruptedOutcome& aOutcome,
             const std::string& aReason)
{
  Log(aContext,
      LogSeverity::Warning,
      "statement of a session that is passed on was not answered by its owner",
      { { "request", aStatement.mId },
        { "session", std::to_string(aSession.mId.mValue) },
        { "database", aSession.mDatabase },
        { "host", aSession.mOwner },
        { "age_ms",
          aSession.mSent ? Milliseconds(aContext.mNow - aSession.mSent->mSentAt)
                         : "0" },
        { "code", std::string(NameOf(aOutcome.mCode)) },
        { "reason", aReason } });
  RelayInterruptions& counts = aContext.mState.mCounters.mRelayInterruptions;
  ++(aOutcome.mCode == ResultCode::ConnectionLost ? counts.mUnknown
                                                  : counts.mNotRun);
  aSession.mTransaction = aOutcome.mState;
  aSession.mIdleSince = aContext.mNow;
  AnswerCaller answer;
  answer.mSession = aSession.mId;
  answer.mCode = aOutcome.mCode;
  answer.mErrorText =
    aOutcome.mCode == ResultCode::Overloaded
      ? aReason + "; retry after " + Milliseconds(kRetryHint) + " ms"
      : aReason;
  answer.mState = aOutcome.mState;
  if (aOutcome.mCode == ResultCode::Ok) {
    answer.mErrorText.clear();
  }
  Emit(aContext, std::move(answer));
}

void
Close(Context& aContext, SessionId aSession)
{
  Emit(aContext, CloseSession{ aSession });
  EndRelayedSession(aContext, aSession);
}

/// Answers the statements that were never sent and closes the caller's session.
void
RefuseHeldAndClose(Context& aContext,
                   RelayedSession& aSession,
                   const std::string& aReason)
{
  for (const Statement& statement : std::exchange(aSession.mHeld, {})) {
    AnswerBySelf(aContext,
                 aSession,
                 statement,
                 { ResultCode::Overloaded, TransactionState::None },
                 aReason);
  }
  Close(aContext, aSession.mId);
}

/// Answers a statement of a session whose transaction was rolled back when its
/// owner was lost.
void
AnswerBroken(Context& aContext,
             RelayedSession& aSession,
             const Statement& aStatement)
{
  const bool isUnreported = std::exchange(aSession.mIsAbortUnreported, false);
  const bool ends = aStatement.mKind == StatementKind::Commit ||
                    aStatement.mKind == StatementKind::Rollback;
  InterruptedOutcome outcome =
    OutcomeOf({ aStatement.mKind, TransactionState::Failed, false, false });
  if (!ends && !isUnreported) {
    outcome.mCode = ResultCode::MalformedRequest;
  }
  AnswerBySelf(
    aContext, aSession, aStatement, outcome, "the transaction was rolled back");
}

void ContinueRelayedSession(Context& aContext, SessionId aSession);

/// Goes on with a session that has no owner any longer: answers the statement
/// that was sent, and has the session wait for another owner, wait for the end
/// of its transaction, or end.
void
HandleOwnerLost(Context& aContext,
                RelayedSession& aSession,
                Delivery aDelivery,
                const std::string& aReason)
{
  const SessionId id = aSession.mId;
  LeaveOwner(aContext, aSession);
  if (const auto sent = std::exchange(aSession.mSent, std::nullopt)) {
    const bool isUndelivered = aDelivery == Delivery::Excluded;
    const bool canMove =
      !sent->mHadState && aSession.mTransaction == TransactionState::None;
    if (isUndelivered && canMove) {
      aSession.mHasState = false;
      aSession.mHeld.push_front(sent->mStatement);
    } else {
      aSession.mSent = sent;
      AnswerBySelf(aContext,
                   aSession,
                   sent->mStatement,
                   OutcomeOf({ sent->mStatement.mKind,
                               aSession.mTransaction,
                               sent->mMayCommitWrites,
                               !isUndelivered }),
                   aReason);
      aSession.mSent.reset();
    }
  } else if (aSession.mTransaction == TransactionState::Open) {
    aSession.mIsAbortUnreported = true;
    aSession.mTransaction = TransactionState::Failed;
  }
  if (aSession.mTransaction != TransactionState::None) {
    aSession.mStage = RelayStage::Broken;
  } else if (aSession.mHasState) {
    RefuseHeldAndClose(aContext, aSession, aReason);
    return;
  } else {
    aSession.mStage = RelayStage::Detached;
  }
  ContinueRelayedSession(aContext, id);
}

/// Whether a statement writes, also as a prepared statement.
bool
IsWrite(const RelayedSession& aSession, const Statement& aStatement)
{
  if (aStatement.mKind != StatementKind::Execute) {
    return aStatement.mKind == StatementKind::Write;
  }
  const bool* const writes = Find(aSession.mPreparedWrites, aStatement.mName);
  return writes != nullptr && *writes;
}

/// Whether a statement, if it succeeds, makes writes permanent.
bool
MayCommitWrites(const RelayedSession& aSession, const Statement& aStatement)
{
  if (aSession.mTransaction != TransactionState::None) {
    return aStatement.mKind == StatementKind::Commit && aSession.mHasWritten;
  }
  return IsWrite(aSession, aStatement);
}

/// Updates the time limit of a session's statements. That of a transaction is
/// the longest since its beginning, as its route may have changed.
void
UpdateStatementTimeout(const Context& aContext, RelayedSession& aSession)
{
  const Route* const route =
    Find(aContext.mState.mCatalogue.mRoutes, aSession.mDatabase);
  if (route == nullptr) {
    return;
  }
  aSession.mStatementTimeout =
    aSession.mTransaction == TransactionState::None
      ? route->mStatementTimeout
      : std::max(aSession.mStatementTimeout, route->mStatementTimeout);
}

void
SendStatement(Context& aContext, RelayedSession& aSession, Statement aStatement)
{
  UpdateStatementTimeout(aContext, aSession);
  SentStatement sent;
  sent.mSentAt = aContext.mNow;
  sent.mDeadline =
    aContext.mNow + aSession.mStatementTimeout + kRelayAnswerMargin;
  sent.mMayCommitWrites = MayCommitWrites(aSession, aStatement);
  sent.mHadState = aSession.mHasState;
  const bool writes = IsWrite(aSession, aStatement);
  const bool prepares = aStatement.mKind == StatementKind::SetValue ||
                        aStatement.mKind == StatementKind::Prepare;
  aSession.mHasState = aSession.mHasState || writes || prepares;
  aSession.mHasWritten = aSession.mHasWritten || writes;
  aSession.mIsStatementExpected =
    prepares || aStatement.mKind == StatementKind::Deallocate;
  ++aSession.mSentCount;
  ++aContext.mState.mCounters.mStatementsRelayed;
  Emit(aContext, SendOnRelay{ aSession.mRelay, aSession.mOwner, aStatement });
  aContext.mState.mTimers.Arm(
    TimerKind::Relay, aSession.mId.mValue, sent.mDeadline);
  sent.mStatement = std::move(aStatement);
  aSession.mSent = std::move(sent);
}

/// If the host is stopping, closes an idle session. Returns whether it did.
bool
CloseIfIdleAtStop(Context& aContext, const RelayedSession& aSession)
{
  if (!aContext.mState.mStop.mUnderway || !IsIdle(aSession) ||
      aSession.mTransaction != TransactionState::None ||
      IsStatementDue(
        aContext, aSession.mIsStatementExpected, aSession.mIdleSince)) {
    return false;
  }
  Close(aContext, aSession.mId);
  return true;
}

/// Sends the next statement, or answers it if the session cannot go on.
void
HandleNextStatement(Context& aContext, RelayedSession& aSession)
{
  if (aSession.mStage == RelayStage::Broken) {
    const Statement statement = std::move(aSession.mHeld.front());
    aSession.mHeld.pop_front();
    AnswerBroken(aContext, aSession, statement);
    if (aSession.mTransaction == TransactionState::None) {
      RefuseHeldAndClose(aContext, aSession, "the session has lost its owner");
    }
    return;
  }
  if (aSession.mStage == RelayStage::Detached) {
    Replace(aContext, aSession);
    return;
  }
  if (IsFrozenOwner(aContext, aSession.mOwner)) {
    // Others have found it silent; waiting for it would be in vain.
    Statement statement = std::move(aSession.mHeld.front());
    aSession.mHeld.pop_front();
    SentStatement unsent;
    unsent.mSentAt = aContext.mNow;
    unsent.mHadState = aSession.mHasState;
    unsent.mStatement = std::move(statement);
    aSession.mSent = std::move(unsent);
    HandleOwnerLost(aContext,
                    aSession,
                    Delivery::Excluded,
                    "the owner of connections leaves statements unanswered");
    return;
  }
  Statement statement = std::move(aSession.mHeld.front());
  aSession.mHeld.pop_front();
  SendStatement(aContext, aSession, std::move(statement));
}

/// Sends or answers statements until one is underway or none is left.
void
ContinueRelayedSession(Context& aContext, SessionId aSession)
{
  RelayedSession* session = FindSession(aContext, aSession);
  while (session != nullptr && !session->mSent && !session->mHeld.empty() &&
         session->mStage != RelayStage::Opening) {
    HandleNextStatement(aContext, *session);
    session = FindSession(aContext, aSession);
  }
  if (session != nullptr && IsIdle(*session)) {
    session->mIdleSince = aContext.mNow;
    CloseIfIdleAtStop(aContext, *session);
  }
}

/// Updates a session by the answer to the statement that was sent.
void
RecordAnswer(RelayedSession& aSession,
             const Statement& aStatement,
             const AnswerCaller& aAnswer)
{
  aSession.mTransaction = aAnswer.mState;
  if (aAnswer.mState == TransactionState::None) {
    aSession.mHasWritten = false;
  }
  if (aAnswer.mCode != ResultCode::Ok) {
    return;
  }
  if (aStatement.mKind == StatementKind::Prepare) {
    aSession.mPreparedWrites[aStatement.mName] = aStatement.mWrites;
  } else if (aStatement.mKind == StatementKind::Deallocate) {
    aSession.mPreparedWrites.erase(aStatement.mName);
  }
}

/// Handles what an owner says of a session.
struct ResponseHandler
{
  Context& mContext;
  RelayedSession& mSession;

  void operator()(const RelayAcceptance&) const
  {
    if (mSession.mStage != RelayStage::Opening) {
      return;
    }
    mSession.mStage = RelayStage::Open;
    mContext.mState.mTimers.Cancel(TimerKind::Relay, mSession.mId.mValue);
    NoteOwnerAcceptance(mContext, mSession.mOwner);
    if (!std::exchange(mSession.mIsAccepted, true)) {
      Emit(mContext, AcceptSession{ mSession.mId });
    }
    ContinueRelayedSession(mContext, mSession.mId);
  }

  void operator()(const RelayRefusal& aRefusal) const
  {
    if (mSession.mStage != RelayStage::Opening) {
      return;
    }
    if (aRefusal.mCode == ResultCode::Stopping ||
        aRefusal.mCode == ResultCode::NoConfiguration) {
      BackOffOwner(mContext, mSession.mOwner, OwnerFailure::Leaving);
    }
    // This host's own checks decide.
    RunLocally(mContext, mSession);
  }

  void operator()(const RelayRows&) const {}

  void operator()(const AnswerCaller& aAnswer) const
  {
    if (!mSession.mSent) {
      return;
    }
    const auto sent = std::exchange(mSession.mSent, std::nullopt);
    mContext.mState.mTimers.Cancel(TimerKind::Relay, mSession.mId.mValue);
    RecordAnswer(mSession, sent->mStatement, aAnswer);
    NoteOwnerAnswer(mContext, mSession.mOwner);
    AnswerCaller answer = aAnswer;
    answer.mSession = mSession.mId;
    Emit(mContext, std::move(answer));
    ContinueRelayedSession(mContext, mSession.mId);
  }

  void operator()(const RelayEnd& aEnd) const
  {
    BackOffOwner(mContext, mSession.mOwner, OwnerFailure::Leaving);
    HandleOwnerLost(mContext,
                    mSession,
                    aEnd.mStatements < mSession.mSentCount ? Delivery::Excluded
                                                           : Delivery::Possible,
                    "the owner of connections has ended the session");
  }
};

}

bool
RelaySession(Context& aContext, const SessionOpened& aEvent)
{
  if (aEvent.mIsRelayed) {
    ++aContext.mState.mCounters.mSessionsTakenOver;
    return false;
  }
  const HostEntry* const owner = OwnerFor(aContext, aEvent.mDatabase);
  if (owner == nullptr) {
    return false;
  }
  RelayedSession session;
  session.mId = aEvent.mSession;
  session.mDatabase = aEvent.mDatabase;
  session.mKey = aEvent.mKey;
  session.mIdleSince = aContext.mNow;
  const auto it =
    aContext.mState.mRelays.mSessions.emplace(session.mId, session).first;
  OpenAt(aContext, it->second, *owner);
  return true;
}

void
HandleRelayedStatement(Context& aContext, const StatementReceived& aEvent)
{
  RelayedSession* const session = FindSession(aContext, aEvent.mSession);
  if (session == nullptr) {
    return;
  }
  if (session->mHeld.size() >= kMaxPipeline) {
    Log(aContext,
        LogSeverity::Warning,
        "caller sent too many statements ahead; closing its session",
        { { "request", aEvent.mStatement.mId } });
    Close(aContext, aEvent.mSession);
    return;
  }
  session->mHeld.push_back(aEvent.mStatement);
  ContinueRelayedSession(aContext, aEvent.mSession);
}

void
EndRelayedSession(Context& aContext, SessionId aSession)
{
  RelayedSession* const session = FindSession(aContext, aSession);
  if (session == nullptr) {
    return;
  }
  LeaveOwner(aContext, *session);
  aContext.mState.mRelays.mSessions.erase(aSession);
  CompleteStopIfIdle(aContext);
}

void
HandleRelayResponse(Context& aContext, const RelayResponse& aResponse)
{
  if (RelayedSession* const session = FindSession(aContext, aResponse.mRelay)) {
    std::visit(ResponseHandler{ aContext, *session }, aResponse.mBody);
  }
}

void
HandleRelayStatementUnsent(Context& aContext,
                           const RelayStatementUnsent& aEvent)
{
  RelayedSession* const session = FindSession(aContext, aEvent.mRelay);
  if (session == nullptr || !session->mSent) {
    return;
  }
  BackOffOwner(aContext, session->mOwner, OwnerFailure::Slow);
  HandleOwnerLost(aContext,
                  *session,
                  Delivery::Excluded,
                  "too much waits to be sent to the owner of connections");
}

void
HandleRelayConnectionLost(Context& aContext, const RelayConnectionLost& aEvent)
{
  BackOffOwner(aContext, aEvent.mHost, OwnerFailure::Unreachable);
  for (const SessionId id : AllSessions(aContext)) {
    RelayedSession* const session = FindSession(aContext, id);
    if (session == nullptr || !session->mRelay ||
        session->mOwner != aEvent.mHost) {
      continue;
    }
    if (session->mStage == RelayStage::Opening) {
      RunLocally(aContext, *session);
    } else {
      HandleOwnerLost(aContext,
                      *session,
                      Delivery::Possible,
                      "the connection to the owner of connections was lost");
    }
  }
}

void
HandleRelayTimer(Context& aContext, SessionId aSession)
{
  RelayedSession* const session = FindSession(aContext, aSession);
  if (session == nullptr) {
    return;
  }
  if (session->mStage == RelayStage::Opening) {
    BackOffOwner(aContext, session->mOwner, OwnerFailure::Slow);
    RunLocally(aContext, *session);
    return;
  }
  if (!session->mSent) {
    return;
  }
  // The answer may have come while this host was stalled.
  const Instant deadline = std::max(
    session->mSent->mDeadline, aContext.mState.mResumedAt + kRelayAnswerMargin);
  if (aContext.mNow < deadline) {
    aContext.mState.mTimers.Arm(TimerKind::Relay, aSession.mValue, deadline);
    return;
  }
  BackOffOwner(aContext, session->mOwner, OwnerFailure::Frozen);
  HandleOwnerLost(aContext,
                  *session,
                  Delivery::Possible,
                  "the owner of connections did not answer in time");
}

void
CloseIdleRelayedSessions(Context& aContext)
{
  for (const SessionId id : AllSessions(aContext)) {
    if (const RelayedSession* const session = FindSession(aContext, id)) {
      CloseIfIdleAtStop(aContext, *session);
    }
  }
}

void
CloseRelayedTransactions(Context& aContext)
{
  for (const SessionId id : AllSessions(aContext)) {
    const RelayedSession* const session = FindSession(aContext, id);
    if (session != nullptr && IsIdle(*session)) {
      Close(aContext, id);
    }
  }
}

}
