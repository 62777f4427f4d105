#pragma once

#include <string>
#include <variant>
#include <vector>

#include "Messages/CallerMessage.h"
#include "Messages/OperatorMessage.h"
#include "Messages/PeerMessage.h"
#include "Messages/ServerMessage.h"
#include "Messages/StoreMessage.h"
#include "Model/Ids.h"
#include "Model/Profile.h"

namespace camphorstep {

struct AnswerCaller
{
  CallerAnswer mAnswer;
};

struct SendToPeer
{
  HostId mHost;
  PeerMessage mMessage;
};

struct OpenConnection
{
  ConnectionId mConnection;
  ServerId mServer;
};

struct CloseConnection
{
  ConnectionId mConnection;
};

struct SendToServer
{
  ConnectionId mConnection;
  ServerRequest mRequest;
};

enum class LogSeverity : std::uint8_t
{
  Info,
  Warning,
  Error
};

/// A named value of a log record.
struct LogValue
{
  std::string mName;
  std::string mValue;
};

/// A log line, in the core's terms.
struct WriteLogRecord
{
  LogSeverity mSeverity = LogSeverity::Info;
  std::string mEvent;
  std::vector<LogValue> mValues;
};

/// The planned stop is complete and the process may exit.
struct StopComplete
{};

/// Reads rows of the platform's table service; StoreAnswered follows.
struct StoreRead
{
  StoreCallId mCall;
  StoreQuery mQuery;
};

/// Carries out a transaction; StoreAnswered follows.
struct StoreWrite
{
  StoreCallId mCall;
  StoreTransaction mTransaction;
};

/// Reads the platform's list of machines; HostListAnswered follows.
struct ReadHostList
{
  StoreCallId mCall;
};

struct AnswerOperator
{
  OperatorAnswer mAnswer;
};

/// Replaces the link to a peer, which may have gone silent.
struct ReopenPeerLink
{
  HostId mHost;
};

/// An event Wake is wanted after a time, sooner than the next Tick.
struct WakeAfter
{
  Duration mDelay{ 0 };
};

/// Calls of a class need not be given to the core, since it would refuse
/// them for load; or they may be given again.
struct SetIntake
{
  CallClass mClass;
  Rank mRank = Rank::Normal;
  bool mClosed = false;
};

/// What the shell is to do. Effects are carried out in order.
using Effect = std::variant<AnswerCaller,
                            SendToPeer,
                            OpenConnection,
                            CloseConnection,
                            SendToServer,
                            WriteLogRecord,
                            StopComplete,
                            StoreRead,
                            StoreWrite,
                            ReadHostList,
                            AnswerOperator,
                            ReopenPeerLink,
                            WakeAfter,
                            SetIntake>;

}
