#pragma once

#include <optional>
#include <unordered_map>

#include "Configuration/Publication.h"
#include "Configuration/StoreAccess.h"
#include "Model/ConfigurationRecord.h"
#include "Model/Profile.h"

namespace camphorstep {

struct Context;

/// The configuration in force on this host, and the state of reading and
/// publishing newer versions.
struct ConfigurationState
{
  Configuration mCurrent;
  /// The record that mCurrent was parsed from; sent to peers on request.
  ConfigurationRecord mRecord;
  /// The highest version whose text could not be parsed on this host.
  std::uint64_t mUnusableVersion = 0;

  StoreAccess mStore;
  /// Whether a read of the head row or of a record is in progress.
  bool mPolling = false;
  Instant mLastPoll{};
  /// The time of the latest configuration request to a peer.
  Instant mLastRequest{};
  /// The time at which this host began to wait for its first configuration.
  std::optional<Instant> mSearchingSince;
  Instant mLastWaitingLog{};

  /// Publications in progress, by operator request.
  std::unordered_map<OperatorCallId, Publication> mPublications;
  /// Other operator requests that wait for the store.
  std::unordered_map<OperatorCallId, OperatorRequest> mOperatorRequests;
};

/// Puts a configuration into force unless a higher version already is.
void HandleConfigurationLoaded(Context& aContext,
                               const Configuration& aConfiguration);

/// Puts a published version into force unless a higher one already is or its
/// text cannot be parsed, and notifies peers in this data centre.
void Install(Context& aContext, const ConfigurationRecord& aRecord);

}
