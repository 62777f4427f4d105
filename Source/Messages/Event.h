#pragma once

#include <string>
#include <variant>

#include "Common/Time.h"
#include "Messages/CallerMessage.h"
#include "Messages/PeerMessage.h"
#include "Messages/ServerMessage.h"
#include "Model/Ids.h"
#include "Model/Profile.h"

namespace camphorstep {

/// The caller's connection went away before the answer.
struct CallerGone
{
  CallId mCall;
};

struct PeerMessageReceived
{
  HostId mFrom;
  PeerMessage mMessage;
};

/// The link on which this host sends to a peer is up.
struct PeerConnected
{
  HostId mHost;
};

/// The link is down; messages sent on it may or may not have arrived.
struct PeerDisconnected
{
  HostId mHost;
};

struct ServerConnected
{
  ConnectionId mConnection;
};

/// A connection ended or could not be opened.
struct ServerDisconnected
{
  ConnectionId mConnection;
};

struct ServerReplied
{
  ConnectionId mConnection;
  ServerReply mReply;
};

/// A configuration came into force on this host.
struct ConfigurationLoaded
{
  Configuration mConfiguration;
};

/// The process has been asked to stop.
struct StopRequested
{};

/// A backend server is about to leave and gets no new work.
struct ServerLeaving
{
  ServerId mServer;
};

/// Time has passed.
struct Tick
{};

using EventBody = std::variant<CallerRequest,
                               CallerGone,
                               PeerMessageReceived,
                               PeerConnected,
                               PeerDisconnected,
                               ServerConnected,
                               ServerDisconnected,
                               ServerReplied,
                               ConfigurationLoaded,
                               StopRequested,
                               Tick,
                               ServerLeaving>;

/// Something that happened, and when. Times never fall from one event to the
/// next.
struct Event
{
  Instant mNow;
  EventBody mBody;
};

}
