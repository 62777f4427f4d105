#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

#include "Accounts/KeyDigest.h"
#include "Gateway/BackendMessage.h"
#include "Gateway/Ids.h"
#include "Gateway/PeerMessage.h"
#include "Gateway/RelayMessage.h"
#include "Gateway/Statement.h"
#include "Gateway/StoreRecord.h"

namespace camphorstep::gateway {

/// A caller opened a session for a database.
struct SessionOpened
{
  SessionId mSession;
  std::string mDatabase;
  /// The digest of the caller's key; none if it gave no key.
  KeyDigest mKey = {};
  /// Whether another host passes the session on to this one.
  bool mIsRelayed = false;
};

struct StatementReceived
{
  SessionId mSession;
  Statement mStatement;
};

/// The caller ended its session or its connection was lost.
struct SessionEnded
{
  SessionId mSession;
};

/// A backend server has accepted a connection.
struct LinkReady
{
  LinkId mLink;
  /// The log position that the server sent on connecting, if any.
  std::optional<Position> mPosition;
};

/// A connection ended or could not be opened.
struct LinkClosed
{
  LinkId mLink;
  /// The code with which the server refused the connection; Ok if it sent
  /// none.
  ResultCode mCode = ResultCode::Ok;
  /// Whether the other side closed or refused the connection; false if it did
  /// not answer.
  bool mIsClosedByPeer = false;
};

struct LinkReplied
{
  LinkId mLink;
  BackendReply mReply;
};

/// A write to the store has ended.
struct StoreWritten
{
  CallId mCall;
  CallOutcome mOutcome = CallOutcome::Unknown;
  /// If the outcome is Ok: the version of the written rows.
  StoreVersion mVersion = 0;
  /// If the outcome is Ok: the store's clock after the write.
  Duration mStoreTime{ 0 };
};

/// The platform has answered a request to promote a server.
struct PromoteAnswered
{
  CallId mCall;
  CallOutcome mOutcome = CallOutcome::Unknown;
};

/// A query from another host has arrived.
struct PeerQueryReceived
{
  PeerLinkId mLink;
  PeerQuery mQuery;
};

/// Another host asks about accounts' limits.
struct RateLimitQueryReceived
{
  PeerLinkId mLink;
  RateLimitQuery mQuery;
};

/// The host that was queried last has answered a question about accounts'
/// limits.
struct RateLimitReportReceived
{
  RateLimitReport mReport;
};

/// A part of the report of the host that was queried last has arrived.
struct PeerReportArriving
{};

/// The connection to the host that was queried last was closed or refused.
struct PeerConnectionLost
{};

/// A statement was not passed on because too many bytes wait to be sent to the
/// owner.
struct RelayStatementUnsent
{
  RelayId mRelay;
};

/// The connection to an owner ended or could not be opened.
struct RelayConnectionLost
{
  std::string mHost;
};

/// The settings file was reloaded.
struct SettingsChanged
{
  /// The region of each data centre.
  std::unordered_map<std::string, std::string> mRegions;
  /// How long a planned stop may take before the process is killed.
  Duration mStopGrace{ 0 };
  LimitBounds mLimitBounds = {};
  /// The most that the values and prepared statements of a session may take, in
  /// bytes; 0 sets no limit.
  std::size_t mMaxSessionBytes = 0;
  /// Whether sessions may be passed on to owners of connections.
  bool mIsRelaying = false;
  /// See Identity::mRevokeTimeout.
  Duration mRevokeTimeout{ 0 };
};

/// The process has been asked to stop.
struct StopRequested
{};

/// Time has passed; timers of the state may be due.
struct TimePassed
{};

using EventBody = std::variant<SessionOpened,
                               StatementReceived,
                               SessionEnded,
                               LinkReady,
                               LinkClosed,
                               LinkReplied,
                               TableAnswer,
                               StoreWritten,
                               PromoteAnswered,
                               PeerQueryReceived,
                               PeerReport,
                               PeerReportArriving,
                               RateLimitQueryReceived,
                               RateLimitReportReceived,
                               PeerConnectionLost,
                               RelayResponse,
                               RelayStatementUnsent,
                               RelayConnectionLost,
                               SettingsChanged,
                               StopRequested,
                               TimePassed>;

/// An event and the time at which it occurred. The times of successive events
/// never decrease.
struct Event
{
  Instant mNow;
  EventBody mBody;
};

}
