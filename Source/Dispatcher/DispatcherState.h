#pragma once

#include <optional>
#include <unordered_map>

#include "Common/Time.h"
#include "Dispatcher/ConcurrencyLimit.h"
#include "Dispatcher/SchedulerState.h"
#include "Messages/PeerMessage.h"
#include "Messages/ServerMessage.h"
#include "Model/Ids.h"
#include "Model/Profile.h"

namespace camphorstep {

/// A request that has been sent to the backend server.
struct ActiveRequest
{
  QueuedRequest mQueued;
  /// The id of the request on the server connection.
  RequestId mExchange;
  Instant mSentAt{};
};

/// The state of a connection to a backend server.
enum class ConnectionPhase : std::uint8_t
{
  /// Waits for the socket and the reply to Hello.
  Opening,
  Idle,
  /// Runs a request or a probe.
  Busy,
  /// Belongs to an open transaction without a running statement.
  InTransaction
};

/// A connection to a backend server.
struct ServerConnection
{
  ServerId mServer;
  ConnectionPhase mPhase = ConnectionPhase::Opening;
  /// Carries status probes only.
  bool mIsControl = false;
  Instant mPhaseSince{};
  std::optional<ActiveRequest> mActive;
  Instant mOpenedAt{};
  /// When the server last replied on this connection.
  Instant mLastReplyAt{};
  /// When a statement was last sent on this connection.
  Instant mLastStatementAt{};
  /// The id of the unanswered Hello or Status, and when it was sent.
  RequestId mProbe;
  Instant mProbeSentAt{};
  /// The open transaction, or all zero.
  TransactionId mTransaction;
  Rank mTransactionRank = Rank::Normal;
  /// The term of the latest request; constant within a transaction.
  Term mTransactionTerm = 0;
  Duration mTransactionIdleTimeout{ 0 };
  /// The entry host through which the transaction's latest request came.
  HostId mTransactionHost;
  /// When that host was lost.
  std::optional<Instant> mOrphanedAt;
};

/// The latest sample of a server's state.
struct ServerSample
{
  ServerView mView;
  /// When the sample was requested from the server.
  Instant mRequestedAt{};
};

/// Tracks silent connections: those on which the server does not reply while it
/// replies on others.
struct SilentConnectionStats
{
  /// Connections closed because a probe was not answered, before a reply on
  /// another connection has confirmed that the server responds.
  int mUnconfirmed = 0;
  /// When the first and the last of the probes on them were sent.
  Instant mFirstProbeAt{};
  Instant mLastProbeAt{};
  /// When connections were last confirmed silent, and when the first of the
  /// unanswered probes was sent.
  Instant mConfirmedAt{};
  Instant mConfirmedProbeAt{};
  /// How many connections were confirmed silent, and how many that were already
  /// open at that probe have replied since.
  int mConfirmedSilent = 0;
  int mStillResponding = 0;
};

/// The dispatcher's state for one backend server.
struct ServerDispatch
{
  SchedulerState mScheduler;
  ConcurrencyLimit mLimit;
  std::unordered_map<ConnectionId, ServerConnection> mConnections;
  std::unordered_map<TransactionId, ConnectionId> mTransactions;
  ConnectionId mControlConnection;
  std::optional<ServerSample> mSample;
  /// Statements that the server runs for this dispatcher.
  int mRunning = 0;
  Instant mLastProbeSentAt{};
  SilentConnectionStats mSilentConnections;
  /// Failed openings since the last successful one.
  int mFailedOpenings = 0;
  /// No connection is opened before this time.
  Instant mOpenAfter{};
  /// When a request or view request for this server last arrived.
  Instant mLastUsed{};
};

struct DispatcherState
{
  std::unordered_map<ServerId, ServerDispatch> mServers;
  std::unordered_map<ConnectionId, ServerId> mServerOfConnection;
  std::uint64_t mLastConnection = 0;
};

}
