#pragma once

#include <string>
#include <vector>

#include "Accounts/ClientAccount.h"

namespace camphorstep::gateway {

/// An account with keys.
inline ClientAccount
MakeAccount(const std::string& aName, const std::vector<std::string>& aKeys)
{
  ClientAccount account;
  account.mName = aName;
  for (const std::string& key : aKeys) {
    account.mKeys.push_back(DigestKey(key));
  }
  return account;
}

/// The accounts "a" with the keys "ka" and "kb", and "b" with the key "kc". The
/// route "near" needs no key.
inline AccountRules
MakeRules()
{
  return { { MakeAccount("a", { "ka", "kb" }), MakeAccount("b", { "kc" }) },
           { "near" } };
}

/// The same without the key "ka".
inline AccountRules
MakeRulesWithoutKey()
{
  return { { MakeAccount("a", { "kb" }), MakeAccount("b", { "kc" }) },
           { "near" } };
}

}
