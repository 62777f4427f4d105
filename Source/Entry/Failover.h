#pragma once

#include <optional>

#include "Entry/EntryState.h"
#include "Messages/PeerMessage.h"
#include "Model/Ids.h"
#include "Model/Position.h"

namespace camphorstep {

struct Context;
struct State;

/// Fails the current attempts that were sent to a server as the primary, after
/// it has lost that role.
void FailRequestsToFormerPrimary(Context& aContext, ServerId aServer);

/// Whether a server's log contains the position that a session has seen.
enum class HistoryMatch : std::uint8_t
{
  Contained,
  /// The position is beyond the end of its term in the log, or its term is
  /// older than the terms that the server reports.
  Lost,
  /// The view is too old to decide.
  Unknown
};

/// Compares a position that a session has seen with the terms in a server's
/// log. The log need not have reached the position yet.
HistoryMatch MatchHistory(const ServerView& aView, Position aSeen);

/// Compares the position in a request's session token with the log of the
/// database's primary, from the latest view of it on this host.
HistoryMatch MatchSessionHistory(const State& aState,
                                 const PendingRequest& aPending);

/// Whether a request whose outcome is unknown may be sent again because its
/// idempotency key makes the second run a replay.
bool IsKeyedWrite(const PendingRequest& aPending);

/// Schedules a lookup of a commit whose outcome is unknown, by its idempotency
/// key. Returns false if the request is no such commit, has no key or its
/// deadline has passed.
bool LookUpCommitOutcome(Context& aContext,
                         RequestId aId,
                         const ForwardAnswer& aAnswer);

/// Returns the answer to a commit whose outcome was looked up: if the lookup
/// did not find it, the commit's own error with outcome Unknown. Other answers
/// are returned unchanged.
ForwardAnswer ApplyLookupResult(const PendingRequest& aPending,
                                const ForwardAnswer& aAnswer);

}
