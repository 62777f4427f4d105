#pragma once

#include <vector>

#include "Common/Time.h"
#include "Keeper/KeeperState.h"
#include "Messages/ServerMessage.h"
#include "Model/Ids.h"
#include "Model/Position.h"

namespace camphorstep {

struct State;

/// How long after a request was sent to a voter its answer counts towards the
/// lease.
constexpr Duration kLeaseDuration = std::chrono::milliseconds(800);
/// How far the clocks of two hosts may drift apart during a lease.
constexpr Duration kDriftMargin = std::chrono::milliseconds(50);
/// How long a promoter waits after a majority has been fenced, so that leases
/// of earlier terms have expired.
constexpr Duration kFenceWait = kLeaseDuration + kDriftMargin;
constexpr Duration kLeaseRenewal = kLeaseDuration / 3;

/// The voters of a group: those that servers report with the highest term,
/// or all its servers as long as none has reported any.
std::vector<ServerId> VotersOf(const State& aState, DatabaseId aDatabase);

/// How many voters make a majority.
std::size_t MajorityOf(std::size_t aVoters);

/// Notes that a server answered a request which was sent at aSentAt.
void NoteEvidence(Group& aGroup,
                  ServerId aServer,
                  const ServerReply& aReply,
                  Instant aSentAt);

/// The time until which answers of a primary at a term may be given: the
/// primary and enough other voters for a majority were at that term less than
/// a lease duration before it. The least time if there is no lease.
Instant LeaseUntil(const State& aState,
                   DatabaseId aDatabase,
                   ServerId aPrimary,
                   Term aTerm);

/// Whether enough voters besides the primary hold a position of a term for
/// every majority to include one server that holds it.
bool IsReplicated(const State& aState,
                  DatabaseId aDatabase,
                  ServerId aPrimary,
                  Position aPosition);

}
