#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Accounts/KeyDigest.h"
#include "Common/StrongId.h"
#include "Wire/Packed.h"

namespace camphorstep::gateway {

/// A client account, by the hash of its name; zero for callers without one.
using AccountId = StrongId<struct AccountTag>;

/// A published client account.
struct ClientAccount
{
  std::string mName;
  std::vector<KeyDigest> mKeys;
  /// The limit on its operations on all hosts together: operations a second,
  /// and how many beyond that at once. No limit if both are zero.
  std::uint32_t mRatePerSecond = 0;
  std::uint32_t mBurst = 0;

  bool operator==(const ClientAccount&) const = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mKeys);
    ArchivePacked(aArchive, mRatePerSecond);
    ArchivePacked(aArchive, mBurst);
  }
};

/// The accounts of a deployment that has them.
struct AccountRules
{
  std::vector<ClientAccount> mAccounts;
  /// The databases whose routes need no key.
  std::vector<std::string> mPublicDatabases;

  bool operator==(const AccountRules&) const = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAccounts, mPublicDatabases);
  }
};

}
