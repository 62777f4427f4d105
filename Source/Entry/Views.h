#pragma once

#include "Common/Time.h"
#include "Messages/PeerMessage.h"
#include "Model/Ids.h"

namespace camphorstep {

struct Context;
struct State;

/// Stores a server's view unless a newer one is known. The third parameter is
/// the time at which this host sent the message that the view answers.
void ApplyView(Context& aContext,
               const ServerView& aView,
               Instant aRequestedAt);

void HandleViewReply(Context& aContext, const ViewReply& aReply);

/// Records that callers use a database, and requests views of its servers if
/// the last requests are too old.
void NoteDatabaseUse(Context& aContext, DatabaseId aDatabase);

/// Requests views of the servers of databases in use at each refresh interval,
/// and drops unanswered view requests that have timed out.
void RefreshViews(Context& aContext);

}
