#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Backend/Admission.h"
#include "Common/Time.h"
#include "Gateway/BackendMessage.h"
#include "Gateway/Ids.h"
#include "Gateway/StoreRecord.h"
#include "Session/SessionState.h"

namespace camphorstep::gateway {

/// What the next answer on a connection is the answer to.
enum class ExchangeKind : std::uint8_t
{
  /// Brings the connection's session values and prepared statements to what
  /// the next statement needs.
  Preparation,
  Begin,
  Statement,
  /// Ends a transaction that nobody waits for.
  Rollback,
  Status,
};

/// A request whose answer has not come yet.
struct Exchange
{
  ExchangeKind mKind = ExchangeKind::Status;
  Instant mSentAt;
};

/// A connection to a backend server.
struct Link
{
  LinkId mId;
  ServerId mServer;
  bool mReady = false;
  /// Whether the connection serves status requests only.
  bool mControl = false;
  Instant mOpenedAt;
  Instant mIdleSince;
  /// The client account whose statements it carries.
  AccountId mAccount;
  /// The session whose statement or transaction it carries.
  SessionId mSession;
  std::deque<Exchange> mExchanges;
  /// What the server holds for the connection.
  std::map<std::string, std::string> mValues;
  std::set<PreparedStatement> mPrepared;
  /// What the values and prepared statements take, in bytes.
  std::size_t mCopiedBytes = 0;
};

/// A backend server as this host knows it, and the connections to it.
struct Backend
{
  ServerId mId;
  GroupId mGroup;
  ServerEntry mEntry;
  /// Since when the store has no entry for the server, or one of an earlier
  /// start only.
  std::optional<Instant> mMissingSince;
  /// Whether the store has an entry of an earlier start, of this server or of
  /// one at its address, that is not used because of this one.
  bool mHidesEntry = false;
  /// Since when the server is known to be leaving.
  std::optional<Instant> mLeavingSince;

  /// The newest status, and when it was asked for.
  std::optional<BackendStatus> mStatus;
  Instant mStatusAskedAt;
  /// When the newest status that shows a pause was asked for, and the server's
  /// term in it.
  std::optional<Instant> mPausedAt;
  Term mPausedTerm = 0;
  /// When the server joined its group, if this host knew the group before.
  std::optional<Instant> mJoinedAt;
  /// Whether the log says that its status is no evidence after the newest
  /// pause, or after it joined.
  bool mIsProbationLogged = false;
  /// When the server was last heard on any connection.
  Instant mLastReceivedAt;
  /// When a connection to it was last given up for silence.
  Instant mLastTimeoutAt;
  /// Openings in a row that the server's machine has refused.
  std::uint32_t mRefusals = 0;
  Position mApplied;
  /// Until when the server is passed over for positions above mApplied.
  Instant mBehindUntil;

  LinkId mControlLink;
  /// The control connection before it, whose late answer may still come.
  LinkId mLateControlLink;
  /// Control connections in a row that were refused, lost or given up, until
  /// when none is opened, and how long the server may take to answer on one;
  /// see Group/ControlLinks.h.
  std::uint32_t mControlFailures = 0;
  Instant mControlOpenAfter;
  Duration mControlTimeout{ 0 };
  std::vector<LinkId> mLinks;
  std::uint32_t mOpening = 0;
  Instant mOpenAfter;
  /// Until when the server is taken to hold as many connections as it can.
  Instant mFullUntil;
  /// Statements of this host that the server is running.
  std::uint32_t mRunning = 0;
  std::map<QueuePlace, SessionId> mQueue;
  ServerPace mPace;
};

}
