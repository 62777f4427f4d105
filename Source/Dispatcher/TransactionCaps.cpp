#include "Dispatcher/TransactionCaps.h"

#include <algorithm>
#include <array>

namespace camphorstep {

namespace {

/// Counts the open transactions of each rank, including those whose Begin is in
/// flight.
std::array<int, kRankCount>
CountOpen(const ServerDispatch& aDispatch)
{
  std::array<int, kRankCount> counts{};
  for (const auto& [id, connection] : aDispatch.mConnections) {
    const bool begins =
      connection.mActive &&
      connection.mActive->mQueued.mRequest.mOperation == ServerOperation::Begin;
    if (begins) {
      ++counts[IndexOf(connection.mActive->mQueued.mRequest.mRank)];
    } else if (connection.mTransaction != TransactionId{}) {
      ++counts[IndexOf(connection.mTransactionRank)];
    }
  }
  return counts;
}

}

int
PoolLimit(const Server& aServer)
{
  return std::max(1, aServer.mMaxConnections / 2 - 1);
}

bool
CanBeginTransaction(const ServerDispatch& aDispatch,
                    const Server& aServer,
                    const Configuration& aConfiguration,
                    Rank aRank)
{
  const std::array<int, kRankCount> open = CountOpen(aDispatch);
  if (open[IndexOf(aRank)] >=
      aConfiguration.mRanks[IndexOf(aRank)].mMaxTransactions) {
    return false;
  }
  const int room = std::max(1, PoolLimit(aServer) - aServer.mSlots);
  const int urgent = open[IndexOf(Rank::Urgent)];
  int others = 0;
  for (const Rank rank : kRanks) {
    others += rank == Rank::Urgent ? 0 : open[IndexOf(rank)];
  }
  if (urgent + others >= room) {
    return false;
  }
  const int kept = std::min(
    aConfiguration.mRanks[IndexOf(Rank::Urgent)].mMaxTransactions, room / 2);
  return aRank == Rank::Urgent || others < room - kept;
}

}
