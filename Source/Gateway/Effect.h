#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Gateway/BackendMessage.h"
#include "Gateway/Ids.h"
#include "Gateway/PeerMessage.h"
#include "Gateway/Statement.h"
#include "Gateway/StoreRecord.h"
#include "Messages/Effect.h"
#include "Model/Topology.h"

namespace camphorstep::gateway {

/// Accepts a caller's session.
struct AcceptSession
{
  SessionId mSession;
};

/// The answer to a caller's statement.
struct AnswerCaller
{
  SessionId mSession;
  ResultCode mCode = ResultCode::Ok;
  std::vector<std::string> mRows;
  /// The server's proof that it ran the statement; empty if the proxy answered
  /// without a server.
  std::string mSignature;
  std::string mErrorText;
  TransactionState mState = TransactionState::None;
  std::optional<Position> mPosition;
};

/// Refuses a session that has not been accepted, and closes it.
struct RefuseSession
{
  SessionId mSession;
  ResultCode mCode = ResultCode::Ok;
  std::string mErrorText;
};

struct CloseSession
{
  SessionId mSession;
};

/// What a session takes of the process's memory.
struct ReportSessionMemory
{
  SessionId mSession;
  std::size_t mBytes = 0;
};

struct OpenLink
{
  LinkId mLink;
  Address mAddress;
  std::string mGroup;
  /// The name of the server that is expected at the address.
  std::string mServer;
  /// The client account in whose name the connection is opened; empty for
  /// connections that belong to none.
  std::string mAccount = {};
};

struct CloseLink
{
  LinkId mLink;
};

struct SendOnLink
{
  LinkId mLink;
  BackendRequest mRequest;
};

/// Reads the rows of a table. Answered by TableAnswer.
struct ReadTable
{
  CallId mCall;
  Table mTable = Table::Operator;
  /// The key to continue from; empty to read from the first row.
  std::string mFrom;
};

/// Requests the rows that changed after a version. Answered by TableAnswer.
struct WatchTable
{
  CallId mCall;
  Table mTable = Table::Operator;
  StoreVersion mAfter = 0;
  /// How long the store may hold the call while there is no change.
  Duration mWait{ 0 };
};

/// Writes this host's entry. Answered by StoreWritten.
struct WriteHostEntry
{
  CallId mCall;
  HostEntry mEntry;
};

/// Removes this host's entry. Answered by StoreWritten.
struct RemoveHostEntry
{
  CallId mCall;
  std::string mName;
};

/// Writes the promoter's lease, and with it records of groups, on the
/// condition that the lease's row still has the version mLease.mRowVersion.
/// Answered by StoreWritten.
struct WriteLease
{
  CallId mCall;
  PromoterLease mLease;
  std::vector<GroupRecord> mRecords;
};

/// Requests the platform to promote a server. Answered by PromoteAnswered. The
/// platform gets the request before mExpiresAt or never: the connection is
/// reset then, so that no request outlives the lease under which it was made.
struct PromoteServer
{
  CallId mCall;
  std::string mGroup;
  std::string mServer;
  std::string mHolder;
  std::uint64_t mToken = 0;
  Instant mExpiresAt;
};

/// Sends a query to another host. Answered by a report, or by an event that the
/// connection was lost. At most one host is queried at a time.
struct SendPeerQuery
{
  Address mAddress;
  /// Whether to open a new connection instead of reusing the open one.
  bool mOnNewConnection = false;
  PeerQuery mQuery;
};

/// Answers a query of another host.
struct SendPeerReport
{
  PeerLinkId mLink;
  PeerReport mReport;
};

/// Asks the host at an address about accounts' limits, on the connection that
/// queries use. Dropped if there is none.
struct SendRateLimitQuery
{
  Address mAddress;
  RateLimitQuery mQuery;
};

/// Answers another host's question about accounts' limits.
struct SendRateLimitReport
{
  PeerLinkId mLink;
  RateLimitReport mReport;
};

/// Opens a session at its owner, another host. Answered by RelayResponse.
struct OpenRelay
{
  RelayId mRelay;
  std::string mHost;
  Address mAddress;
  std::string mDatabase;
  KeyDigest mKey;
};

/// Passes a statement on. Answered by RelayResponse or RelayStatementUnsent.
struct SendOnRelay
{
  RelayId mRelay;
  std::string mHost;
  Statement mStatement;
};

/// Ends a session at its owner.
struct EndRelay
{
  RelayId mRelay;
  std::string mHost;
};

/// Sets whether this host reports to the load balancer that it is ready for new
/// callers.
struct SetReady
{
  bool mReady = false;
};

/// An action for the shell to carry out. Effects are carried out in order.
using Effect = std::variant<AcceptSession,
                            AnswerCaller,
                            RefuseSession,
                            CloseSession,
                            ReportSessionMemory,
                            OpenLink,
                            CloseLink,
                            SendOnLink,
                            ReadTable,
                            WatchTable,
                            WriteHostEntry,
                            RemoveHostEntry,
                            WriteLease,
                            PromoteServer,
                            SendPeerQuery,
                            SendPeerReport,
                            SendRateLimitQuery,
                            SendRateLimitReport,
                            OpenRelay,
                            SendOnRelay,
                            EndRelay,
                            SetReady,
                            StopComplete,
                            WriteLogRecord>;

}
