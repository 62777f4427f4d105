#pragma once

#include <optional>

#include "Common/Time.h"

namespace camphorstep::gateway {

/// What a host knows of its place in its data centre.
struct FloorTerms
{
  /// Whether it is the first host of its data centre, by the list of hosts that
  /// it has.
  bool mIsFirst = false;
  /// The age of the last confirmation that the store had no later list; none if
  /// there was none.
  std::optional<Duration> mListAge;
  /// Whether an earlier process of the host had the same place.
  bool mHadPlaceBefore = false;
  /// For how long the host has been in the store's list; none if it is not yet.
  std::optional<Duration> mListedFor;
};

/// Whether a host spends its data centre's floor. At most one host does: one
/// whose list is old does not know of a new first host, and stops before that
/// one begins.
bool SpendsFloor(const FloorTerms& aTerms);

}
