#include <catch2/catch.hpp>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <thread>

#include "Standin/LocalGateway.h"
#include "Standin/SiteStandin.h"

using namespace camphorstep;
using namespace std::chrono_literals;
using standin::Caller;
using standin::GatewayOptions;
using standin::LocalGateway;
using standin::OpenWhenServed;
using standin::StandinAccount;
using standin::StoreFault;

namespace {

constexpr std::uint16_t kSitePort = 18'960;
constexpr std::uint16_t kGatewayPort = 18'970;
constexpr std::chrono::milliseconds kRevokeTimeout = 1'000ms;

const std::vector<StandinAccount> kAccounts{ { "acme", { "k1", "k2" } },
                                             { "birch", { "k3" } } };
const std::vector<StandinAccount> kAccountsWithoutKey{ { "acme", { "k2" } },
                                                       { "birch", { "k3" } } };

/// Queries until an answer begins with a text, for some seconds at most.
bool
AnswersSoon(Caller& aCaller, const std::string& aText)
{
  for (int n = 0; n < 100; ++n) {
    if (aCaller.Query("READ item").starts_with(aText)) {
      return true;
    }
    std::this_thread::sleep_for(50ms);
  }
  return false;
}

}

TEST_CASE("Servers are told the account, and unknown keys are refused",
          "[Path]")
{
  standin::SiteStandin site(kSitePort);
  site.SetAccounts(kAccounts);
  site.Publish(3, { "main", "open" });
  std::map<std::string, std::set<std::string>> accounts;
  site.Do([&] {
    site.Group().mOnStatement = [&](const std::string& aId,
                                    const std::string& aAccount) {
      accounts[aAccount].insert(aId);
    };
  });
  const LocalGateway gateway(kGatewayPort, kSitePort);
  const auto acme = OpenWhenServed(kGatewayPort, "main", "k1");
  REQUIRE(acme);
  CHECK(acme->Query("WRITE item one").starts_with("COMPLETE sig"));
  Caller birch(kGatewayPort, "main", "k3");
  CHECK(birch.Query("READ item").starts_with("ROW one"));
  Caller anyone(kGatewayPort, "open", "");
  CHECK(anyone.Query("READ item").starts_with("ROW one"));
  CHECK(
    Caller(kGatewayPort, "main", "k4").mWelcome.starts_with("ERROR UNAUTH"));
  CHECK(Caller(kGatewayPort, "main", "").mWelcome.starts_with("ERROR UNAUTH"));
  site.Do([&] {
    const std::set<std::string> first{ "q1" };
    CHECK(accounts.size() == 3);
    CHECK(accounts["acme"] == first);
    CHECK(accounts["birch"] == first);
    CHECK(accounts["camphorstep"] == first);
    site.Group().mOnStatement = nullptr;
  });
}

TEST_CASE("A key that is taken away ends sessions and transactions", "[Path]")
{
  standin::SiteStandin site(kSitePort);
  site.SetAccounts(kAccounts);
  site.Publish(3, { "main" });
  const LocalGateway gateway(kGatewayPort, kSitePort);
  const auto caller = OpenWhenServed(kGatewayPort, "main", "k1");
  REQUIRE(caller);
  Caller idle(kGatewayPort, "main", "k1");
  Caller other(kGatewayPort, "main", "k2");
  CHECK(caller->Query("BEGIN") == "COMPLETE -\n");
  CHECK(caller->Query("WRITE item one").starts_with("COMPLETE"));
  site.SetAccounts(kAccountsWithoutKey);
  site.Publish(4, { "main" });
  CHECK(AnswersSoon(idle, "ERROR UNAUTH"));
  CHECK(caller->Query("COMMIT").starts_with("ERROR UNAUTH"));
  CHECK(caller->mReady.starts_with("READY I"));
  CHECK(other.Query("READ item").starts_with("ROW \n"));
  site.Do([&] { CHECK(site.Group().mEffects.empty()); });
}

TEST_CASE("A host that is cut off from the store serves no key for long",
          "[Path]")
{
  // Guards against serving a key that was taken away while the host could not
  // learn of it.
  standin::SiteStandin site(kSitePort);
  site.SetAccounts(kAccounts);
  site.Publish(3, { "main", "open" });
  GatewayOptions options;
  options.mRevokeTimeout = kRevokeTimeout;
  const LocalGateway gateway(kGatewayPort, kSitePort, options);
  const auto caller = OpenWhenServed(kGatewayPort, "main", "k1");
  REQUIRE(caller);
  CHECK(caller->Query("WRITE item one").starts_with("COMPLETE"));
  Caller other(kGatewayPort, "main", "k2");
  Caller anyone(kGatewayPort, "open", "");
  const auto fault = GENERATE(StoreFault::Silent, StoreFault::Refuse);
  site.Do([&] { site.Store().SetFault(fault); });
  // The watch that is underway is still answered.
  std::this_thread::sleep_for(300ms);
  site.SetAccounts(kAccountsWithoutKey);
  site.Publish(4, { "main", "open" });
  std::this_thread::sleep_for(kRevokeTimeout);
  for (int n = 0; n < 5; ++n) {
    CHECK_THAT(caller->Query("READ item"), Catch::StartsWith("ERROR"));
    CHECK_FALSE(Caller(kGatewayPort, "main", "k1").mWelcome.empty());
    std::this_thread::sleep_for(50ms);
  }
  CHECK(other.Query("READ item").starts_with("ERROR BUSY"));
  CHECK(anyone.Query("READ item").starts_with("ROW one"));
  site.Do([&] { site.Store().SetFault(StoreFault::None); });
  CHECK(AnswersSoon(other, "ROW one"));
  CHECK(caller->Query("READ item").starts_with("ERROR UNAUTH"));
}
