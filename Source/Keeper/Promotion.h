#pragma once

#include "Keeper/KeeperState.h"
#include "Messages/ServerMessage.h"
#include "Model/Ids.h"

namespace camphorstep {

struct Context;

/// Starts to replace the primary of a database. Nothing is changed before
/// new connections have shown that the primary is lost, unless the change is
/// planned.
void StartPromotion(Context& aContext,
                    DatabaseId aDatabase,
                    Group& aGroup,
                    ServerId aAvoided,
                    bool aPlanned);

/// Handles a server's answer to a request of the promotion.
void HandlePromotionReply(Context& aContext,
                          ConnectionId aLink,
                          const ServerReply& aReply);

/// Counts a failure for a connection of the promotion that was lost or
/// refused.
void HandlePromotionLinkLost(Context& aContext, const KeeperLink& aLink);

/// Replaces overdue connections, sends the requests of the current phase and
/// enters the next phase when its condition holds.
void AdvancePromotion(Context& aContext, DatabaseId aDatabase, Group& aGroup);

}
