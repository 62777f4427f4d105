#pragma once

#include "Dispatcher/DispatcherState.h"
#include "Keeper/KeeperState.h"
#include "Messages/ServerMessage.h"
#include "Model/Ids.h"

namespace camphorstep {

struct Context;

/// Answers the host that a request came from as soon as that is safe. An answer
/// that only the primary may give waits for the lease; a write with replicated
/// durability also waits until a majority of the voters holds its position.
void AnswerWhenSafe(Context& aContext,
                    const ServerDispatch& aDispatch,
                    const QueuedRequest& aQueued,
                    const ServerReply& aReply);

/// Sends the held answers that are safe now, and fails those whose deadline has
/// passed or whose term has been superseded.
void CompleteHeldAnswers(Context& aContext,
                         DatabaseId aDatabase,
                         Group& aGroup);

}
