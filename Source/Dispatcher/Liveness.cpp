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
constexpr Duration kLateProbeTimeout = std::chrono::milliseconds(100);
/// After this time without a reply to a probe, the connection is closed.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);
constexpr Duration kOpenTimeout = std::chrono::seconds(1);
/// How long a statement may take on a connection that may be silent like others
/// that were open at the same time.
constexpr Duration kLikelyLostStatementTimeout = std::chrono::milliseconds(300);

bool
IsProbing(const ServerConnection& aConnection)
{
  return aConnection.mProbe != RequestId{} &&
         aConnection.mPhase != ConnectionPhase::Opening;
}

/// Whether a connection for statements has no request or probe in flight.
bool
CanProbe(const ServerConnection& aConnection)
{
  return !aConnection.mIsControl && !IsProbing(aConnection) &&
         (aConnection.mPhase == ConnectionPhase::Idle ||
          aConnection.mPhase == ConnectionPhase::InTransaction);
}

/// When the most recently sent of the late probes was sent.
std::optional<Instant>
LatestLateProbeTime(const Context& aContext, const ServerDispatch& aDispatch)
{
  std::optional<Instant> latest;
  for (const auto& [id, connection] : aDispatch.mConnections) {
    if (IsProbeLate(aContext, connection)) {
      latest = std::max(latest.value_or(Instant{}), connection.mProbeSentAt);
    }
  }
  return latest;
}

/// Whether a connection was opened before the probe that found others silent
/// and has had no reply since that probe became late.
bool
MayBeSilent(const SilentConnectionStats& aSilence,
            const ServerConnection& aConnection)
{
  return aConnection.mOpenedAt < aSilence.mConfirmedProbeAt &&
         aConnection.mLastReplyAt <
           aSilence.mConfirmedProbeAt + kLateProbeTimeout;
}

/// Whether a slow statement is on a connection that is probably silent: most
/// connections of that age were found silent.
bool
IsStatementLikelyLost(const Context& aContext,
                      const ServerDispatch& aDispatch,
                      const ServerConnection& aConnection)
{
  const SilentConnectionStats& silence = aDispatch.mSilentConnections;
  return silence.mConfirmedSilent > silence.mStillResponding &&
         MayBeSilent(silence, aConnection) &&
         aContext.mNow - aConnection.mActive->mSentAt >
           kLikelyLostStatementTimeout;
}

/// Returns why a connection must be closed now, or nothing.
std::optional<ResultCode>
DropReason(const Context& aContext,
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
    if (IsStatementLikelyLost(aContext, aDispatch, aConnection)) {
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
NoteUnansweredProbe(ServerDispatch& aDispatch,
                    const ServerConnection& aConnection)
{
  SilentConnectionStats& silence = aDispatch.mSilentConnections;
  const Instant probedAt = aConnection.mProbeSentAt;
  silence.mFirstProbeAt = silence.mUnconfirmed == 0
                            ? probedAt
                            : std::min(silence.mFirstProbeAt, probedAt);
  silence.mLastProbeAt = std::max(silence.mLastProbeAt, probedAt);
  ++silence.mUnconfirmed;
}

/// Seeded fault: reuses the connection of an abandoned transaction.
void
ReuseWithoutRollback(ServerDispatch& aDispatch, ServerConnection& aConnection)
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
    ReuseWithoutRollback(aDispatch, connection);
    return;
  }
  if (connection.mPhase == ConnectionPhase::Opening) {
    NoteFailedOpening(aContext, aDispatch);
  } else if (IsProbing(connection) && aReason == ResultCode::ConnectionLost) {
    NoteUnansweredProbe(aDispatch, connection);
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
NoteConnectionReply(Context& aContext,
                    ServerDispatch& aDispatch,
                    ServerConnection& aConnection,
                    Instant aSentAt)
{
  SilentConnectionStats& silence = aDispatch.mSilentConnections;
  if (MayBeSilent(silence, aConnection)) {
    ++silence.mStillResponding;
  }
  aConnection.mLastReplyAt = aContext.mNow;
  if (silence.mUnconfirmed == 0 || aSentAt <= silence.mLastProbeAt) {
    return;
  }
  // Probes sent before the last confirmation belong to the same incident.
  if (silence.mFirstProbeAt > silence.mConfirmedAt) {
    silence.mConfirmedSilent = 0;
    silence.mStillResponding = 0;
    silence.mConfirmedProbeAt = silence.mFirstProbeAt;
  }
  silence.mConfirmedProbeAt =
    std::min(silence.mConfirmedProbeAt, silence.mFirstProbeAt);
  silence.mConfirmedSilent += silence.mUnconfirmed;
  silence.mConfirmedAt = aContext.mNow;
  LogRecord(aContext,
            LogSeverity::Warning,
            "replaced silent connections",
            { { "connections", std::to_string(silence.mUnconfirmed) } });
  silence.mUnconfirmed = 0;
}

void
ProbeIdleConnections(Context& aContext, ServerDispatch& aDispatch)
{
  const std::optional<Instant> late = LatestLateProbeTime(aContext, aDispatch);
  for (auto& [id, connection] : aDispatch.mConnections) {
    if (!CanProbe(connection)) {
      continue;
    }
    const bool due =
      aContext.mNow - connection.mLastReplyAt > kIdleProbeInterval;
    if (due || (late && connection.mLastReplyAt < *late)) {
      SendProbe(aContext, id, connection);
    }
  }
}

void
DropOverdueConnections(Context& aContext, ServerDispatch& aDispatch)
{
  std::vector<ConnectionId> ids;
  for (const auto& [id, connection] : aDispatch.mConnections) {
    if (DropReason(aContext, aDispatch, connection)) {
      ids.push_back(id);
    }
  }
  for (const ConnectionId id : ids) {
    const auto it = aDispatch.mConnections.find(id);
    const std::optional<ResultCode> reason =
      it == aDispatch.mConnections.end()
        ? std::nullopt
        : DropReason(aContext, aDispatch, it->second);
    if (reason) {
      Drop(aContext, aDispatch, id, *reason);
    }
  }
}

bool
IsProbeLate(const Context& aContext, const ServerConnection& aConnection)
{
  return IsProbing(aConnection) &&
         aContext.mNow - aConnection.mProbeSentAt > kLateProbeTimeout;
}

}
