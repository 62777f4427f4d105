#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

#include "Gateway/BackendMessage.h"
#include "Gateway/Ids.h"
#include "Gateway/PeerMessage.h"
#include "Gateway/Statement.h"
#include "Gateway/StoreRecord.h"

namespace camphorstep::gateway {

/// A caller opened a session for a database.
struct SessionOpened
{
  SessionId mSession;
  std::string mDatabase;
};

struct StatementReceived
{
  SessionId mSession;
  Statement mStatement;
};

/// The caller ended its session or went away.
struct SessionEnded
{
  SessionId mSession;
};

/// A backend server has taken a connection.
struct LinkReady
{
  LinkId mLink;
  std::optional<Position> mPosition;
};

/// A connection ended or could not be opened.
struct LinkClosed
{
  LinkId mLink;
  /// What the server said when it refused the connection; Ok if it said
  /// nothing.
  ResultCode mCode = ResultCode::Ok;
  /// Whether the other side ended or refused the connection, rather than
  /// staying silent.
  bool mAnswered = false;
};

struct LinkReplied
{
  LinkId mLink;
  BackendReply mReply;
};

/// A write to the store ended.
struct StoreWritten
{
  CallId mCall;
  CallOutcome mOutcome = CallOutcome::Unknown;
  /// Ok: the version that the written rows have.
  std::uint64_t mVersion = 0;
  /// Ok: the store's clock after the write.
  Duration mStoreTime{ 0 };
};

/// The platform answered a PromoteServer.
struct PromoteAnswered
{
  CallId mCall;
  CallOutcome mOutcome = CallOutcome::Unknown;
};

/// Another host asks for news.
struct PeerAsked
{
  PeerLinkId mLink;
  NewsQuery mQuery;
};

/// The connection to the host that was asked last ended or was refused.
struct PeerLost
{};

/// The settings file has changed.
struct SettingsChanged
{
  /// The region of each data centre.
  std::unordered_map<std::string, std::string> mRegions;
  Duration mStopGrace{ 0 };
};

/// The process has been asked to stop.
struct StopRequested
{};

/// A timer of the state is due, or may be.
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
                               PeerAsked,
                               NewsReport,
                               PeerLost,
                               SettingsChanged,
                               StopRequested,
                               TimePassed>;

/// Something that happened, and when. Times never fall from one event to the
/// next.
struct Event
{
  Instant mNow;
  EventBody mBody;
};

}
