#include "Dispatcher/Liveness.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "Dispatcher/ConnectionPool.h"
#include "Dispatcher/Execution.h"
#include "Dispatcher/Transactions.h"
#include "Reducer/Context.h"
#include "Reducer/SeededFaults.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// A connection without a reply for this long is probed.
constexpr Duration kIdleProbeInterval = std::chrono::seconds(1);
/// After this time without a reply to a probe, the other connections are probed
/// too.
constexpr Duration kSuspicionTimeout = std::chrono::milliseconds(100);
/// After this time without a reply to a probe, the connection is closed.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);
constexpr Duration kOpenTimeout = std::chrono::seconds(1);
/// How long a statement may take on a connection that may be silent like others
/// that were open at the same time.
constexpr Duration kSuspectStatementTimeout = std::chrono::milliseconds(300);

bool
IsProbing(const ServerConnection& aConnection)
{
  return aConnection.mProbe != RequestId{} &&
         aConnection.mPhase != ConnectionPhase::Opening;
}

/// Whether a connection for statements has no request or probe in flight.
bool
MayProbe(const ServerConnection& aConnection)
{
  return !aConnection.mIsControl && !IsProbing(aConnection) &&
         (aConnection.mPhase == ConnectionPhase::Idle ||
          aConnection.mPhase == ConnectionPhase::InTransaction);
}

/// When the most recently sent of the late probes was sent.
std::optional<Instant>
LatestLateProbe(const Context& aContext, const ServerDispatch& aDispatch)
{
  std::optional<Instant> latest;
  for (const auto& [id, connection] : aDispatch.mConnections) {
    if (IsSuspect(aContext, connection)) {
      latest = std::max(latest.value_or(Instant{}), connection.mProbeSentAt);
    }
  }
  return latest;
}

/// Whether a connection was opened before the probe that found others silent
/// and has had no reply since that probe became late.
bool
SharesSilence(const SilenceWatch& aSilence, const ServerConnection& aConnection)
{
  return aConnection.mOpenedAt < aSilence.mProbedAt &&
         aConnection.mLastHeardAt < aSilence.mProbedAt + kSuspicionTimeout;
}

/// Whether a slow statement is on a connection that is probably silent: most
/// connections of that age were found silent.
bool
IsStatementSuspect(const Context& aContext,
                   const ServerDispatch& aDispatch,
                   const ServerConnection& aConnection)
{
  const SilenceWatch& silence = aDispatch.mSilence;
  return silence.mSilent > silence.mSound &&
         SharesSilence(silence, aConnection) &&
         aContext.mNow - aConnection.mActive->mSentAt >
           kSuspectStatementTimeout;
}

/// Returns why a connection must be closed now, or nothing.
std::optional<ResultCode>
ReasonToDrop(const Context& aContext,
             const ServerDispatch& aDispatch,
             const ServerConnection& aConnection)
{
  if (aConnection.mPhase == ConnectionPhase::Opening) {
    const bool late = aContext.mNow - aConnection.mPhaseSince > kOpenTimeout;
    return late ? std::optional(ResultCode::ConnectionLost) : std::nullopt;
  }
  if (IsProbing(aConnection) &&
      aContext.mNow - aConnection.mProbeSentAt > kProbeTimeout) {
    return ResultCode::ConnectionLost;
  }
  if (aConnection.mActive) {
    if (aContext.mNow >= aConnection.mActive->mQueued.mDeadline) {
      return ResultCode::DeadlineExceeded;
    }
    if (IsStatementSuspect(aContext, aDispatch, aConnection)) {
      return ResultCode::ConnectionLost;
    }
  }
  if (IsTransactionOverdue(aContext, aConnection)) {
    return ResultCode::TransactionAborted;
  }
  return std::nullopt;
}

/// Records that a probe on a connection was not answered.
void
NoteUnanswered(ServerDispatch& aDispatch, const ServerConnection& aConnection)
{
  SilenceWatch& silence = aDispatch.mSilence;
  const Instant probedAt = aConnection.mProbeSentAt;
  silence.mFirstProbeAt = silence.mUnproven == 0
                            ? probedAt
                            : std::min(silence.mFirstProbeAt, probedAt);
  silence.mLastProbeAt = std::max(silence.mLastProbeAt, probedAt);
  ++silence.mUnproven;
}

/// Seeded fault: reuses the connection of an abandoned transaction.
void
KeepDirty(ServerDispatch& aDispatch, ServerConnection& aConnection)
{
  aDispatch.mTransactions.erase(aConnection.mTransaction);
  aConnection.mTransaction = TransactionId{};
  aConnection.mPhase = ConnectionPhase::Idle;
}

void
Drop(Context& aContext,
     ServerDispatch& aDispatch,
     ConnectionId aId,
     ResultCode aReason)
{
  ServerConnection& connection = aDispatch.mConnections.at(aId);
  if (IsSeeded(SeededFault::ReuseDirtyConnection) &&
      connection.mPhase == ConnectionPhase::InTransaction) {
    KeepDirty(aDispatch, connection);
    return;
  }
  if (connection.mPhase == ConnectionPhase::Opening) {
    NoteFailedOpening(aContext, aDispatch);
  } else if (IsProbing(connection) && aReason == ResultCode::ConnectionLost) {
    NoteUnanswered(aDispatch, connection);
  }
  FailActive(aContext, aDispatch, connection, aReason);
  DropConnection(aContext, aDispatch, aId);
}

}

void
SendProbe(Context& aContext, ConnectionId aId, ServerConnection& aConnection)
{
  ServerRequest status;
  status.mId = NewRequestId(aContext);
  status.mOperation = ServerOperation::Status;
  aConnection.mProbe = status.mId;
  aConnection.mProbeSentAt = aContext.mNow;
  // A connection with a transaction keeps its phase, so that its next statement
  // does not wait for the probe.
  if (aConnection.mPhase == ConnectionPhase::Idle) {
    EnterPhase(aContext, aConnection, ConnectionPhase::Busy);
  }
  Emit(aContext, SendToServer{ aId, status });
}

void
NoteAnswer(Context& aContext,
           ServerDispatch& aDispatch,
           ServerConnection& aConnection,
           Instant aSentAt)
{
  SilenceWatch& silence = aDispatch.mSilence;
  if (SharesSilence(silence, aConnection)) {
    ++silence.mSound;
  }
  aConnection.mLastHeardAt = aContext.mNow;
  if (silence.mUnproven == 0 || aSentAt <= silence.mLastProbeAt) {
    return;
  }
  // Probes sent before the last confirmation belong to the same incident.
  if (silence.mFirstProbeAt > silence.mFoundAt) {
    silence.mSilent = 0;
    silence.mSound = 0;
    silence.mProbedAt = silence.mFirstProbeAt;
  }
  silence.mProbedAt = std::min(silence.mProbedAt, silence.mFirstProbeAt);
  silence.mSilent += silence.mUnproven;
  silence.mFoundAt = aContext.mNow;
  LogRecord(aContext,
            LogSeverity::Warning,
            "replaced silent connections",
            { { "connections", std::to_string(silence.mUnproven) } });
  silence.mUnproven = 0;
}

void
ProbeIdleConnections(Context& aContext, ServerDispatch& aDispatch)
{
  const std::optional<Instant> late = LatestLateProbe(aContext, aDispatch);
  for (auto& [id, connection] : aDispatch.mConnections) {
    if (!MayProbe(connection)) {
      continue;
    }
    const bool due =
      aContext.mNow - connection.mLastHeardAt > kIdleProbeInterval;
    if (due || (late && connection.mLastHeardAt < *late)) {
      SendProbe(aContext, id, connection);
    }
  }
}

void
DropOverdue(Context& aContext, ServerDispatch& aDispatch)
{
  std::vector<ConnectionId> ids;
  for (const auto& [id, connection] : aDispatch.mConnections) {
    if (ReasonToDrop(aContext, aDispatch, connection)) {
      ids.push_back(id);
    }
  }
  for (const ConnectionId id : ids) {
    const auto it = aDispatch.mConnections.find(id);
    const std::optional<ResultCode> reason =
      it == aDispatch.mConnections.end()
        ? std::nullopt
        : ReasonToDrop(aContext, aDispatch, it->second);
    if (reason) {
      Drop(aContext, aDispatch, id, *reason);
    }
  }
}

bool
IsSuspect(const Context& aContext, const ServerConnection& aConnection)
{
  return IsProbing(aConnection) &&
         aContext.mNow - aConnection.mProbeSentAt > kSuspicionTimeout;
}

}
