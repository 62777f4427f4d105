#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "Common/Time.h"
#include "Entry/SessionToken.h"
#include "Messages/CallerMessage.h"
#include "Messages/PeerMessage.h"
#include "Model/Ids.h"
#include "Model/Profile.h"
#include "Model/ResultCode.h"

namespace camphorstep {

/// The dispatcher refuses or cancels a request at its deadline. The entry waits
/// this much longer for the dispatcher's answer.
constexpr Duration kAnswerGrace = std::chrono::milliseconds(100);

/// A caller's request that has no answer yet.
struct PendingRequest
{
  CallerRequest mCaller;
  /// The service's profile at the arrival of the request. Later changes of the
  /// configuration do not affect the request.
  Profile mProfile;
  DatabaseId mDatabase;
  SessionToken mToken;
  std::optional<TransactionHandle> mTransaction;
  Instant mArrivedAt{};
  Instant mDeadline;
  std::uint32_t mAttempts = 0;
  /// The host to which the current attempt was sent; empty if none is in
  /// flight.
  std::optional<HostId> mDispatcher;
  ServerId mServer;
  Instant mSentAt{};
  bool mFromReplica = false;
  /// Set once an attempt may have reached a server, so that the request as a
  /// whole can no longer be reported as "not run".
  bool mMayHaveRun = false;
  /// Set after a replica was too far behind: only the primary is used.
  bool mAvoidReplicas = false;
  /// Set while the outcome of a commit that may have run is looked up by its
  /// idempotency key: the result code with which the commit failed.
  std::optional<ResultCode> mCommitError;
};

/// The latest view of a server, with the time that bounds its age.
struct KnownServer
{
  ServerView mView;
  /// Lower bound of the time at which the server was in the state of the view.
  Instant mSampledAt{};
  /// Estimated delay until the replica has applied a write of the primary.
  Duration mLag{ 0 };
};

/// A position of a primary, with a lower bound of the time at which it had it.
struct PrimarySample
{
  Instant mSampledAt{};
  Position mPosition;
};

/// The entry's state of a database that its callers use.
struct DatabaseUse
{
  Instant mLastUsed{};
  Instant mLastViewRequest{};
  /// The latest samples of the primary, oldest first.
  std::deque<PrimarySample> mPrimarySamples;
};

/// This host's requests of one rank to a server.
struct RankUse
{
  /// The limit and queue length that the dispatcher reported last.
  RankIntake mIntake;
  int mInFlight = 0;
  /// Requests in flight by service; services without any have no item.
  std::unordered_map<std::string, int> mInFlightByService;
};

/// The limits that a server's dispatcher reported, and this host's requests in
/// flight to the server.
struct ServerIntake
{
  Instant mReceivedAt{};
  std::array<RankUse, kRankCount> mRanks;
};

/// The time at which a deadline or retry of a request is due.
using RequestTimer = std::pair<Instant, RequestId>;

struct EntryState
{
  std::unordered_map<RequestId, PendingRequest> mPending;
  std::unordered_map<CallId, RequestId> mRequestOfCall;
  std::set<RequestTimer> mDeadlines;
  std::set<RequestTimer> mRetries;
  std::unordered_map<ServerId, KnownServer> mServers;
  std::unordered_map<DatabaseId, DatabaseUse> mDatabases;
  /// The time at which each unanswered view request was sent.
  std::unordered_map<RequestId, Instant> mViewRequests;
  std::array<int, kRankCount> mInProgress{};
  std::unordered_map<ServerId, ServerIntake> mIntake;
  /// The classes of calls that the shell refuses without passing them to the
  /// core, each with its rank.
  std::map<CallClass, Rank> mClosed;
  /// Retries that each service may still make; see RetryBudget.h.
  std::unordered_map<std::string, double> mRetryBudgets;
};

}
