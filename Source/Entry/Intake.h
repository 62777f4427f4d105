#pragma once

#include <string>

#include "Common/Time.h"
#include "Entry/EntryState.h"
#include "Messages/PeerMessage.h"
#include "Model/Ids.h"

namespace camphorstep {

struct Context;
struct State;

/// Stores the admission windows and queue lengths that a dispatcher reports for
/// a server.
void ApplyIntake(Context& aContext, const ServerView& aView);

/// Whether the admission window of a server's dispatcher has room for a
/// request. A service with fewer requests in flight than its fair share of the
/// window may send even if other services have filled it. Windows that were
/// reported too long ago do not apply.
bool HasRoom(const State& aState,
             Instant aNow,
             Rank aRank,
             const std::string& aService,
             ServerId aServer);

/// Whether any server that may serve calls of a class has room for them.
/// Checked before any other work on a call, so that refusals are cheap.
bool HasRoomForCall(const State& aState,
                    Instant aNow,
                    Rank aRank,
                    const CallClass& aClass);

/// Has the shell refuse calls of the request's class without passing them to
/// the core.
void CloseIntake(Context& aContext, Rank aRank, const CallerRequest& aRequest);

/// Has the shell accept calls again of the closed classes that have room.
void ReopenIntake(Context& aContext);

/// Counts a request as in flight to its server.
void AddInFlight(EntryState& aEntry, const PendingRequest& aPending);

/// Removes a request from the requests in flight to its server.
void RemoveInFlight(EntryState& aEntry, const PendingRequest& aPending);

/// Finishes a request as overloaded, with a jittered retry hint.
void RefuseForLoad(Context& aContext, RequestId aId);

}
