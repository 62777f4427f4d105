#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "Accounts/ClientAccount.h"
#include "Accounts/KeyDigest.h"

namespace camphorstep::gateway {

/// The client accounts in force, indexed by key. It is replaced as a whole with
/// each version of the configuration.
struct AccountTable
{
  /// As published, for reports to other hosts.
  AccountRules mRules;
  /// The place of an account in mRules.mAccounts, by its keys and by its name.
  std::unordered_map<KeyDigest, std::size_t, KeyDigestHash> mByKey;
  std::unordered_map<AccountId, std::size_t> mById;
  std::unordered_set<std::string> mPublicDatabases;
};

/// Builds the index. A key that several accounts have belongs to the first.
AccountTable MakeAccountTable(AccountRules aRules);

/// Returns the account that has a key, or none.
AccountId AccountOfKey(const AccountTable& aTable, const KeyDigest& aKey);

/// Returns a published account, or nullptr if there is none.
const ClientAccount* FindAccount(const AccountTable& aTable,
                                 AccountId aAccount);

/// Whether the route of a database needs no key.
bool IsPublic(const AccountTable& aTable, const std::string& aDatabase);

}
