#include <catch2/catch.hpp>

#include "Accounts.h"
#include "Accounts/Access.h"
#include "Common/Time.h"
#include "Model/Ids.h"

using namespace camphorstep;
using namespace camphorstep::gateway;
using namespace std::chrono_literals;

namespace {

const AccountId kA = IdOf<AccountId>("a");
const AccountId kB = IdOf<AccountId>("b");

CallerIdentity
WithKey(const std::string& aKey)
{
  return { DigestKey(aKey), false };
}

Access
Continue(const AccountRules& aRules, const std::string& aKey)
{
  return DecideContinuation(MakeAccountTable(aRules), WithKey(aKey), {}, kA);
}

}

TEST_CASE("Keys are told apart by their digests", "[Access]")
{
  CHECK(DigestKey("ka") == DigestKey("ka"));
  CHECK_FALSE(DigestKey("ka") == DigestKey("kb"));
  CHECK(DigestKey("ka"));
  CHECK_FALSE(DigestKey(""));
}

TEST_CASE("A caller is served in the name of the account that has its key",
          "[Access]")
{
  const AccountTable table = MakeAccountTable(MakeRules());
  CHECK(table.mByKey.size() == 3);
  for (const auto& [key, account] :
       { std::pair("ka", kA), std::pair("kb", kA), std::pair("kc", kB) }) {
    const AccessDecision decision = DecideAccess(table, WithKey(key), {});
    CHECK(decision.mAccess == Access::Granted);
    CHECK(decision.mAccount == account);
  }
  for (const char* const key : { "", "a", "kd", "ka " }) {
    CHECK(DecideAccess(table, WithKey(key), {}).mAccess == Access::UnknownKey);
  }
}

TEST_CASE("A public route needs no key and belongs to no account", "[Access]")
{
  const AccountTable table = MakeAccountTable(MakeRules());
  CHECK(IsPublic(table, "near"));
  CHECK_FALSE(IsPublic(table, "main"));
  for (const char* const key : { "", "ka", "kd" }) {
    const AccessDecision decision =
      DecideAccess(table, { DigestKey(key), true }, { 9s, 1s });
    CHECK(decision.mAccess == Access::Granted);
    CHECK_FALSE(decision.mAccount);
  }
}

TEST_CASE("An operation goes on only with its caller's own key", "[Access]")
{
  CHECK(Continue(MakeRules(), "ka") == Access::Granted);
  CHECK(Continue(MakeRulesWithoutKey(), "kb") == Access::Granted);
  CHECK(Continue(MakeRulesWithoutKey(), "ka") == Access::UnknownKey);
  CHECK(Continue(MakeRules(), "kc") == Access::OtherAccount);
  CHECK(Continue({}, "ka") == Access::UnknownKey);
}

TEST_CASE("An unconfirmed configuration serves nobody with a key", "[Access]")
{
  const AccountTable table = MakeAccountTable(MakeRules());
  const auto decide = [&table](Confirmation aConfirmation) {
    return DecideAccess(table, WithKey("ka"), aConfirmation).mAccess;
  };
  CHECK(decide({ 1'999ms, 2s }) == Access::Granted);
  CHECK(decide({ 2s, 2s }) == Access::Unconfirmed);
  CHECK(decide({ 1h, 0s }) == Access::Granted);
  // A key that is not known yet may be in a newer configuration.
  CHECK(DecideAccess(table, WithKey("kd"), { 2s, 2s }).mAccess ==
        Access::Unconfirmed);
  CHECK(DecideContinuation(table, WithKey("ka"), { 2s, 2s }, kA) ==
        Access::Unconfirmed);
}
