#pragma once

#include <optional>

#include "Common/Time.h"
#include "Messages/PeerMessage.h"
#include "Messages/ServerMessage.h"
#include "Model/Ids.h"

namespace camphorstep {

struct Context;
struct State;

/// Records from a view which server is primary at which term. The server was
/// in that state at aSampledAt or later.
void ObserveView(Context& aContext,
                 const ServerView& aView,
                 Instant aSampledAt);

/// Records the term, role and log position in a server's answer to a request
/// that this host sent at aSentAt.
void NoteServerReply(Context& aContext,
                     ServerId aServer,
                     const ServerReply& aReply,
                     Instant aSentAt);

/// The primary of a database, if known.
std::optional<ServerId> PrimaryOf(const State& aState, DatabaseId aDatabase);

/// The highest term known for a database; zero if none is.
Term TermOf(const State& aState, DatabaseId aDatabase);

/// Whether a connection belongs to the keeper rather than the dispatcher.
bool IsKeeperLink(const State& aState, ConnectionId aConnection);

void HandleKeeperConnected(Context& aContext, ConnectionId aConnection);

void HandleKeeperDisconnected(Context& aContext, ConnectionId aConnection);

void HandleKeeperReply(Context& aContext,
                       ConnectionId aConnection,
                       const ServerReply& aReply);

/// Whether no answer is held back and no change of primary is underway.
bool IsKeeperIdle(const State& aState);

/// Maintains leases, detects failures and advances changes of primary.
void TickKeeper(Context& aContext);

}
