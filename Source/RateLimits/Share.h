#pragma once

#include <cstdint>
#include <vector>

#include "Accounts/ClientAccount.h"
#include "Common/Time.h"
#include "Wire/Packed.h"

namespace camphorstep::gateway {

using namespace std::chrono_literals;

/// A part of an account's limit, in units of which kWholeLimit are the limit.
/// Being a part, it follows a changed limit by itself.
using Share = std::uint32_t;

constexpr Share kWholeLimit = 1U << 16U;
/// The part that the granter hands out as shares. They are spent while no
/// granter stands.
constexpr Share kGrantablePart = kWholeLimit * 2 / 5;
/// The part from which the granter gives single tokens. While it does not know
/// which shares are still in force, there is nothing else but the floors.
constexpr Share kReservePart = kWholeLimit - kGrantablePart;

/// How long a share lasts from the sending of the query that it answers. It
/// outlasts the change of the granter and the store's shorter outages.
constexpr Duration kShareDuration = 30s;
/// How much longer the granter counts it, for the difference of two clocks.
constexpr Duration kShareMargin = 1s;

/// What a spender has and needs of an account's limit.
struct ShareDemand
{
  AccountId mAccount;
  /// The share that it has.
  Share mShare = 0;
  /// The operations that its callers ask for, in thousandths a second.
  std::uint32_t mDemand = 0;

  bool operator==(const ShareDemand&) const = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAccount);
    ArchivePacked(aArchive, mShare);
    ArchivePacked(aArchive, mDemand);
  }
};

/// A spender's query for shares: all that it has, and its demand.
struct ShareQuery
{
  /// The incarnation of the spender's process.
  std::uint64_t mIncarnation = 0;
  std::vector<ShareDemand> mDemands;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIncarnation, mDemands);
  }
};

/// A share that a spender may use.
struct ShareGrant
{
  AccountId mAccount;
  Share mShare = 0;

  bool operator==(const ShareGrant&) const = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAccount);
    ArchivePacked(aArchive, mShare);
  }
};

/// The granter's answer: replaces the shares of the accounts that it names.
struct ShareReport
{
  std::vector<ShareGrant> mGrants;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mGrants);
  }
};

}
