#pragma once

#include "Gateway/Context.h"
#include "Model/Topology.h"

namespace camphorstep::gateway {

/// Puts a session's statement into a server's queue and starts it if there is
/// room.
void EnqueueAt(Context& aContext, Session& aSession, Backend& aBackend);

/// Takes a session's statement out of the queue that it waits in, if any.
void LeaveQueue(Context& aContext, Session& aSession);

/// Whether a session's statement waits in a server's queue and certainly cannot
/// be started in time.
bool IsWaitHopeless(const Context& aContext, const Session& aSession);

/// Starts what waits at a server as far as connections and limits allow.
void DispatchQueue(Context& aContext, Backend& aBackend);

/// Sends everything that waits at a server to find another one.
void RerouteQueue(Context& aContext, Backend& aBackend);

/// Opens a connection to a server, in the name of a client account if one is
/// given.
LinkId OpenLinkTo(Context& aContext,
                  Backend& aBackend,
                  bool aControl,
                  AccountId aAccount = {});

/// Gives a connection back to the pool, or closes it if its server is to get
/// no new work.
void ReleaseLink(Context& aContext, Link& aLink);

/// Closes a connection and forgets it.
void DropLink(Context& aContext, LinkId aLink);

/// Forgets a connection that is closed already; its server is told apart.
void ForgetLink(Context& aContext, LinkId aLink);

/// Sends a request and notes what its answer will be for.
void SendRequest(Context& aContext,
                 Link& aLink,
                 BackendRequest aRequest,
                 ExchangeKind aKind);

/// Opens connections that wait for their time and closes idle ones.
void MaintainPool(Context& aContext, Backend& aBackend);

/// Whether a statement could start at a server without waiting for a
/// connection that others hold.
bool HasFreeConnection(const Context& aContext, const Backend& aBackend);

/// How near a server is to this host.
Proximity ProximityTo(const Context& aContext, const Backend& aBackend);

/// Whether a server may be given new work.
bool CanTakeNewWork(const Backend& aBackend, Instant aNow);

}
