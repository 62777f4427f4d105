#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// A planned replacement of a primary that answers. The usual order of a
/// takeover, to pause the replicas first, would leave it to a count of copies
/// whether a replica has every acknowledged write, and a server that receives
/// writes before it is listed is not counted. Here the primary's own position
/// tells: its term is retired, so that hosts send it no more writes; it steps
/// down while the replicas still receive its log; a replica that has all of it
/// then has every acknowledged write, whoever else received them.

/// Whether a takeover for this reason can be a handover: the primary answers.
bool CanHandOver(const Context& aContext,
                 const Group& aGroup,
                 TakeoverReason aReason);

enum class HandoverProgress : std::uint8_t
{
  Waiting,
  /// A replica has all that the primary had, and all evidence for the primary
  /// has expired: the replica can be promoted.
  Ready,
  /// The primary does not answer any more, or no replica has all that it had.
  /// The takeover goes on with a fence.
  Failed,
};

/// Takes the next step of a group's handover.
HandoverProgress ContinueHandover(Context& aContext, Group& aGroup);

/// Returns the replica to be promoted: of those that have all that the primary
/// had when it stepped down, the one that has received the most; nullptr if
/// there is none.
const Backend* FindSuccessor(const Context& aContext, const Group& aGroup);

}
