#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Model/Position.h"

namespace camphorstep::promotions {

/// Names a write of a caller.
using WriteId = std::uint64_t;

/// An entry of a server's log.
struct LogEntry
{
  Term mTerm = 0;
  WriteId mWrite = 0;

  bool operator==(const LogEntry&) const = default;
};

using ServerLog = std::vector<LogEntry>;

/// Keeps what the callers and the platform have seen, and judges it by the
/// rules LOST and ONE. Keeps the first breach only.
struct Oracle
{
  /// The broken rule and what was seen; none while no rule is broken.
  std::optional<std::string> mBreach;
  std::uint64_t mHighestToken = 0;
  /// The holders that the store has given a token to, and those whose orders
  /// have arrived.
  std::map<std::uint64_t, std::string> mGranted;
  std::map<std::uint64_t, std::string> mHolders;
  std::set<WriteId> mAcknowledged;
  /// Writes that a server committed after another one had been promoted.
  std::set<WriteId> mCommittedLate;
  /// Those of them that were held up on the way, or whose sender was frozen.
  /// They do not count.
  std::set<WriteId> mHeldUp;
  Term mTerm = 1;
  std::size_t mPromotions = 0;
  /// What the server that leads has; of no use before the first promotion.
  std::set<WriteId> mPromotedLog;
};

/// The store has written a lease. Two holders of one token break no rule until
/// both promote, which soon follows.
void NoteGrant(Oracle& aOracle,
               const std::string& aHolder,
               std::uint64_t aToken);

/// The platform has received an order to promote.
void NoteOrder(Oracle& aOracle,
               const std::string& aHolder,
               std::uint64_t aToken);

/// A server was promoted with the log that it has.
void NotePromotion(Oracle& aOracle,
                   const std::string& aServer,
                   Term aTerm,
                   const ServerLog& aLog);

/// A server has committed a write. aIsHeldUp tells whether the sender was
/// frozen, or the write was held up on the way.
void NoteCommit(Oracle& aOracle, const LogEntry& aEntry, bool aIsHeldUp);

/// A caller has got the acknowledgement of a write, of the given term.
void NoteAcknowledged(Oracle& aOracle, const LogEntry& aEntry);

}
