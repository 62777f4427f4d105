#pragma once

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Common/Time.h"
#include "Dispatcher/DispatcherState.h"
#include "Keeper/PromotionState.h"
#include "Messages/PeerMessage.h"
#include "Messages/ServerMessage.h"
#include "Model/Ids.h"
#include "Model/Position.h"

namespace camphorstep {

/// The latest term and log position that a server has reported.
struct TermEvidence
{
  Term mTerm = 0;
  /// When the latest request was sent that the server answered at mTerm.
  Instant mSentAt{};
  Position mLogged;
};

/// The purpose of a keeper connection.
enum class LinkPurpose : std::uint8_t
{
  /// Renews the lease and follows the server's log.
  Watch,
  /// Probes, fences and promotes; opened anew for each attempt.
  Promotion
};

/// A connection of the keeper to a server.
struct KeeperLink
{
  ServerId mServer;
  DatabaseId mDatabase;
  LinkPurpose mPurpose = LinkPurpose::Watch;
  /// Whether the server has answered Hello.
  bool mHelloAnswered = false;
  /// The request in progress, or all zero.
  RequestId mPendingRequest;
  ServerOperation mOperation = ServerOperation::Hello;
  Instant mSentAt{};
};

/// The state of the watch on one server.
struct Watch
{
  ConnectionId mLink;
  Instant mLastOpened{};
  /// Connections that failed since the server last answered.
  int mFailures = 0;
  Instant mLastRequestAt{};
  /// The log position that the server was last asked to wait for.
  Position mRequestedPosition;
  /// Since when the server's log has ended at a term older than that of the
  /// primary's log.
  std::optional<Instant> mStalledSince;
};

/// An answer of the primary that waits for the lease, or for enough other
/// voters to report its position.
struct HeldAnswer
{
  QueuedRequest mQueued;
  ForwardAnswer mAnswer;
  ServerId mServer;
  Term mTerm = 0;
  bool mNeedsReplication = false;
};

/// The phase of a planned change of primary.
enum class SwitchOverPhase : std::uint8_t
{
  /// New transactions wait until the open ones have ended.
  Draining,
  /// Everything that needs the primary waits until a replica has the whole
  /// log.
  CatchingUp,
  /// The promotion runs.
  Promoting
};

/// A planned change of primary.
struct SwitchOver
{
  ServerId mLeaving;
  SwitchOverPhase mPhase = SwitchOverPhase::Draining;
  Instant mStartedAt{};
  Instant mPhaseStartedAt{};
  /// Requests that wait for the change to be over.
  std::deque<QueuedRequest> mParked;
};

/// The known state of a database's group of servers.
struct Group
{
  /// The highest term seen, and its primary if known.
  Term mTerm = 0;
  ServerId mPrimary;
  /// When the primary was last known to be active, or the term last rose.
  Instant mPrimaryActiveAt{};
  /// The former primary, until its requests have been failed, and when the
  /// term rose above its own.
  ServerId mFormerPrimary;
  Instant mTermRaisedAt{};
  /// The voters of the term of mVotersTerm.
  std::vector<ServerId> mVoters;
  Term mVotersTerm = 0;
  std::map<ServerId, TermEvidence> mEvidence;
  std::map<ServerId, Watch> mWatches;
  /// When a request last needed the primary through this host.
  std::optional<Instant> mLeaseWantedAt;
  std::deque<HeldAnswer> mHeldAnswers;
  std::optional<Promotion> mPromotion;
  std::optional<SwitchOver> mSwitchOver;
};

struct KeeperState
{
  std::unordered_map<DatabaseId, Group> mGroups;
  std::unordered_map<ConnectionId, KeeperLink> mLinks;
};

}
