#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Gateway/BackendMessage.h"
#include "Gateway/Ids.h"
#include "Gateway/PeerMessage.h"
#include "Gateway/StoreRecord.h"
#include "Messages/Effect.h"
#include "Model/Topology.h"

namespace camphorstep::gateway {

/// Tells a caller that its session is open.
struct WelcomeCaller
{
  SessionId mSession;
};

/// The answer to a caller's statement.
struct AnswerCaller
{
  SessionId mSession;
  ResultCode mCode = ResultCode::Ok;
  std::vector<std::string> mRows;
  /// The server's proof; empty if the proxy answered by itself.
  std::string mSignature;
  std::string mErrorText;
  TransactionState mState = TransactionState::None;
  std::optional<Position> mPosition;
};

/// Refuses a session that was not welcomed yet, and closes it.
struct RefuseCaller
{
  SessionId mSession;
  ResultCode mCode = ResultCode::Ok;
  std::string mErrorText;
};

struct CloseSession
{
  SessionId mSession;
};

struct OpenLink
{
  LinkId mLink;
  Address mAddress;
  std::string mGroup;
  /// The server that must answer at the address.
  std::string mServer;
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

/// Reads the rows of a table; TableAnswer follows.
struct ReadTable
{
  CallId mCall;
  Table mTable = Table::Operator;
  /// The first key; empty for all rows.
  std::string mFrom;
};

/// Asks for rows that change after a version; TableAnswer follows.
struct FollowTable
{
  CallId mCall;
  Table mTable = Table::Operator;
  std::uint64_t mAfter = 0;
  /// How long the store may wait for a change.
  Duration mWait{ 0 };
};

/// Writes this host's entry; StoreWritten follows.
struct WriteHostEntry
{
  CallId mCall;
  HostEntry mEntry;
};

/// Removes this host's entry; StoreWritten follows.
struct RemoveHostEntry
{
  CallId mCall;
  std::string mName;
};

/// Writes the promoter's lease if its row still has the version that
/// mLease.mRowVersion names; StoreWritten follows.
struct WriteLease
{
  CallId mCall;
  PromoterLease mLease;
};

/// Has the platform promote a server; PromoteAnswered follows.
struct PromoteServer
{
  CallId mCall;
  std::string mGroup;
  std::string mServer;
  std::string mHolder;
  std::uint64_t mToken = 0;
};

/// Asks another host; a NewsReport or PeerLost follows. One host is asked at a
/// time.
struct AskPeer
{
  Address mAddress;
  /// Whether a connection that was open already must not be used.
  bool mOnNewConnection = false;
  NewsQuery mQuery;
};

struct AnswerPeer
{
  PeerLinkId mLink;
  NewsReport mReport;
};

/// Whether the balancer is to send new callers here.
struct SetReady
{
  bool mReady = false;
};

/// What the shell is to do. Effects are carried out in order.
using Effect = std::variant<WelcomeCaller,
                            AnswerCaller,
                            RefuseCaller,
                            CloseSession,
                            OpenLink,
                            CloseLink,
                            SendOnLink,
                            ReadTable,
                            FollowTable,
                            WriteHostEntry,
                            RemoveHostEntry,
                            WriteLease,
                            PromoteServer,
                            AskPeer,
                            AnswerPeer,
                            SetReady,
                            StopComplete,
                            WriteLogRecord>;

}
