#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>

#include "Common/Hash.h"
#include "Common/StrongId.h"

namespace camphorstep {

// Identifiers of named things are hashes of their names, so that all hosts
// agree on them without any exchange. Settings with a collision are refused.
using HostId = StrongId<struct HostTag>;
using ServerId = StrongId<struct ServerTag>;
using DatabaseId = StrongId<struct DatabaseTag>;
using DataCentreId = StrongId<struct DataCentreTag>;
using RegionId = StrongId<struct RegionTag>;

/// One call of a caller on the entry host, unique within the process.
using CallId = StrongId<struct CallTag>;

/// One connection to a backend server, unique within the process.
using ConnectionId = StrongId<struct ConnectionTag>;

/// Derives the identifier of a named thing.
template<typename Id>
Id
IdOf(std::string_view aName)
{
  return Id{ Hash64(aName) };
}

/// A request on its way between hosts and servers. The incarnation is drawn
/// anew at each process start, so identifiers never repeat over restarts.
struct RequestId
{
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;

  auto operator<=>(const RequestId&) const = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIncarnation, mSequence);
  }
};

/// A transaction, named by the request that began it.
using TransactionId = RequestId;

}

template<>
struct std::hash<camphorstep::RequestId>
{
  std::size_t operator()(const camphorstep::RequestId& aId) const noexcept;
};
