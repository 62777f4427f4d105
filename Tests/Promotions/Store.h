#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "Gateway/Effect.h"
#include "Gateway/Event.h"

namespace camphorstep::promotions {

/// A row and the number that it was last written with. Without a value the row
/// was removed.
template<typename Value>
struct Row
{
  std::uint64_t mNumber = 0;
  std::optional<Value> mValue;
};

/// The rows of the platform's store. Plain data, so that it can return from a
/// copy.
struct StoreRows
{
  std::uint64_t mNumber = 0;
  std::map<std::string, Row<gateway::ServerEntry>> mServers;
  std::map<std::string, Row<gateway::HostEntry>> mHosts;
  Row<gateway::PromoterLease> mLease;
  std::map<std::string, Row<gateway::GroupRecord>> mRecords;
  /// The eras in which the lease was written.
  std::map<std::uint64_t, Row<bool>> mLeaseEras;
  Row<gateway::RoutingVersion> mRouting;
};

/// The platform's store.
struct Store
{
  StoreRows mRows;
  std::uint64_t mEra = 0;
  std::deque<std::pair<Instant, StoreRows>> mCopies;
  /// Whether a write of the lease has to fail if the lease was written in a
  /// later era.
  bool mGuardsEra = true;
};

/// The version that the store has reached.
gateway::StoreVersion CurrentVersion(const Store& aStore);

void PutServer(Store& aStore, const gateway::ServerEntry& aEntry);
void RemoveServer(Store& aStore, const std::string& aName);
void PutHost(Store& aStore, const gateway::HostEntry& aEntry);

/// Answers a read of a whole table.
gateway::TableAnswer ReadRows(const Store& aStore,
                              const gateway::ReadTable& aCall,
                              Instant aNow);

/// Answers a request for the rows that changed after a version.
gateway::TableAnswer ReadChanges(const Store& aStore,
                                 const gateway::WatchTable& aCall,
                                 Instant aNow);

/// Whether a table has rows that changed after a version.
bool HasChanges(const Store& aStore, const gateway::WatchTable& aCall);

/// Writes the lease if the condition holds.
gateway::StoreWritten PutLease(Store& aStore,
                               const gateway::WriteLease& aCall,
                               Instant aNow);

/// Keeps a copy of the rows, to return from later.
void KeepCopy(Store& aStore, Instant aNow);

/// Returns from the newest copy that was made no later than a time.
void ReturnFromCopy(Store& aStore, Instant aTime);

}
