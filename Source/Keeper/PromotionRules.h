#pragma once

#include <vector>

#include "Keeper/PromotionState.h"
#include "Model/Ids.h"

namespace camphorstep {

/// Whether new connections to a server have failed often enough in a row.
bool IsLost(const PromotionServer& aServer);

/// The highest term that any server has reported to the promoter.
Term HighestTerm(const Promotion& aPromotion);

/// Whether a majority of the voters answers on new connections, and every
/// other server has failed to several times in a row.
bool IsProbeComplete(const Promotion& aPromotion,
                     const std::vector<ServerId>& aVoters);

bool HasFencedMajority(const Promotion& aPromotion,
                       const std::vector<ServerId>& aVoters);

/// Whether the lease wait can be skipped because no answer that an earlier
/// primary may still give can contradict the candidate: the primary of the
/// highest earlier term is fenced itself, no fenced server had seen a later
/// term, and the candidate has that primary's whole log.
bool CanSkipLeaseWait(const Promotion& aPromotion);

/// The fenced server whose log ends at the highest term, and there at the
/// highest position. Among equals not the one to be avoided.
ServerId BestCandidate(const Promotion& aPromotion);

/// Whether all servers other than the new primary have answered Follow.
bool AllFollow(const Promotion& aPromotion);

}
