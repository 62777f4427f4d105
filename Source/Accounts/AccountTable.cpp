#include "Accounts/AccountTable.h"

#include <utility>

#include "Model/Ids.h"

namespace camphorstep::gateway {

AccountTable
MakeAccountTable(AccountRules aRules)
{
  AccountTable table;
  table.mRules = std::move(aRules);
  const std::vector<ClientAccount>& accounts = table.mRules.mAccounts;
  for (std::size_t n = 0; n < accounts.size(); ++n) {
    table.mById.emplace(IdOf<AccountId>(accounts[n].mName), n);
    for (const KeyDigest& key : accounts[n].mKeys) {
      table.mByKey.emplace(key, n);
    }
  }
  table.mPublicDatabases.insert(table.mRules.mPublicDatabases.begin(),
                                table.mRules.mPublicDatabases.end());
  return table;
}

AccountId
AccountOfKey(const AccountTable& aTable, const KeyDigest& aKey)
{
  const auto it = aTable.mByKey.find(aKey);
  return it == aTable.mByKey.end()
           ? AccountId{}
           : IdOf<AccountId>(aTable.mRules.mAccounts[it->second].mName);
}

const ClientAccount*
FindAccount(const AccountTable& aTable, AccountId aAccount)
{
  const auto it = aTable.mById.find(aAccount);
  return it == aTable.mById.end() ? nullptr
                                  : &aTable.mRules.mAccounts[it->second];
}

bool
IsPublic(const AccountTable& aTable, const std::string& aDatabase)
{
  return aTable.mPublicDatabases.contains(aDatabase);
}

}
