#pragma once

#include "Dispatcher/DispatcherState.h"
#include "Keeper/KeeperState.h"
#include "Messages/Event.h"
#include "Messages/PeerMessage.h"
#include "Model/Ids.h"

namespace camphorstep {

struct Context;

/// Sends a switch-over request for a leaving server to the host that dispatches
/// for it.
void HandleServerLeaving(Context& aContext, const ServerLeaving& aEvent);

/// Starts a planned change of primary on the host that dispatches for it.
void HandleSwitchOverRequest(Context& aContext,
                             const SwitchOverRequest& aMessage);

/// Queues a request while a planned change is in progress. Returns false if the
/// request is to proceed.
bool Park(Context& aContext, const QueuedRequest& aQueued);

/// Advances a planned change to its next phase when its condition holds.
void AdvanceSwitchOver(Context& aContext, DatabaseId aDatabase, Group& aGroup);

}
