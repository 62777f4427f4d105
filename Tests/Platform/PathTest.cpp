#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>

#include "Standin/LocalGateway.h"
#include "Standin/SiteStandin.h"

using namespace camphorstep;
using namespace std::chrono_literals;
using standin::Caller;
using standin::LocalGateway;
using standin::OpenWhenServed;

namespace {

constexpr std::uint16_t kSitePort = 18'960;
constexpr std::uint16_t kGatewayPort = 18'970;

/// Waits until a condition holds in the site's thread. Returns whether it does
/// within a time.
template<typename Condition>
bool
WaitFor(standin::SiteStandin& aSite,
        std::chrono::milliseconds aTime,
        Condition aCondition)
{
  const auto end = std::chrono::steady_clock::now() + aTime;
  bool holds = false;
  while (!holds && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(20ms);
    aSite.Do([&] { holds = aCondition(); });
  }
  return holds;
}

}

TEST_CASE("The whole path on the platform's stand-in", "[Path]")
{
  standin::SiteStandin site(kSitePort);
  site.Publish(3, { "main", "near" });
  const LocalGateway gateway(kGatewayPort, kSitePort);
  const auto caller = OpenWhenServed(kGatewayPort, "main");
  REQUIRE(caller);

  CHECK(caller->Query("WRITE item one") == "COMPLETE sig-q1\n");
  CHECK(caller->Query("READ item") == "ROW one\nCOMPLETE sig-q2\n");

  // A transaction on one connection, with the caller's own names and values.
  CHECK(caller->Query("SET who me") == "COMPLETE -\n");
  CHECK(caller->Query("PREPARE s WRITE q") == "COMPLETE -\n");
  CHECK(caller->Query("BEGIN") == "COMPLETE -\n");
  CHECK(caller->mReady.starts_with("READY T"));
  CHECK(caller->Query("EXECUTE s item@me two") == "COMPLETE sig-q6\n");
  CHECK(caller->Query("COMMIT") == "COMPLETE sig-q7\n");
  CHECK(caller->mReady.starts_with("READY I 1."));

  // Another session on the same connections has no values.
  Caller other(kGatewayPort, "near");
  CHECK(other.Query("READ item@") == "ROW \nCOMPLETE sig-q1\n");
  CHECK(other.Query("READ item@me").starts_with("ROW two\n"));
  site.Do([&] {
    // The last read has the wrong value on purpose; nothing else has.
    CHECK(site.Group().mViolations == std::vector<std::string>{ "item@me" });
    CHECK(site.Group().mEffects["item"] == 1);
    CHECK(site.Group().mEffects["item@me"] == 1);
  });

  SECTION("A new configuration is in force soon")
  {
    site.Publish(4, { "main", "near", "added" });
    CHECK(OpenWhenServed(kGatewayPort, "added"));
  }
  SECTION("Configurations are in force after the store lost what it had "
          "acknowledged")
  {
    site.Do([&] { site.Store().KeepCopy(); });
    site.Publish(4, { "main", "near", "lost" });
    CHECK(OpenWhenServed(kGatewayPort, "lost"));
    site.Do([&] { site.Store().ReturnFromCopy(); });
    CHECK(Caller(kGatewayPort, "lost").mWelcome.empty());
    SECTION("when it has fewer versions than before")
    {
      site.Publish(7, { "main", "near", "added" });
    }
    SECTION("when it has given out the same versions again")
    {
      site.Publish(4, { "main", "near", "lost" });
      site.Publish(7, { "main", "near", "added" });
      for (int n = 0; n < 20; ++n) {
        site.Publish(7, { "main", "near", "added" });
      }
    }
    CHECK(OpenWhenServed(kGatewayPort, "added"));
  }
  SECTION("A primary that dies is replaced, and nothing acknowledged is lost")
  {
    site.Do([&] { site.Group().Kill(0); });
    std::string answer;
    for (int n = 0; n < 10 && !answer.starts_with("ROW"); ++n) {
      answer = caller->Query("READ item@me");
    }
    CHECK(answer.starts_with("ROW two\n"));
    CHECK(caller->Query("WRITE item three").starts_with("COMPLETE"));
    CHECK_THAT(caller->mReady, Catch::StartsWith("READY I 2."));
  }
  SECTION("A database without a route is refused")
  {
    CHECK(
      Caller(kGatewayPort, "nowhere").mWelcome.starts_with("ERROR NODATABASE"));
  }
}

TEST_CASE("An order to promote does not arrive after the next promoter's",
          "[Path]")
{
  // Guards against orders that outlive their sender's lease: one that was held
  // up on the way was carried out after those of the next holder.
  standin::SiteStandin site(kSitePort);
  site.Publish(3, { "main" });
  auto gateway = std::make_unique<LocalGateway>(kGatewayPort, kSitePort);
  REQUIRE(OpenWhenServed(kGatewayPort, "main"));
  site.Do([&] {
    site.Promotions().SetHoldingUp(true);
    site.Group().Kill(0);
  });
  REQUIRE(
    WaitFor(site, 6s, [&] { return site.Promotions().CountHeldUp() > 0; }));
  gateway.reset();
  site.Do([&] { site.Promotions().SetHoldingUp(false); });
  gateway = std::make_unique<LocalGateway>(kGatewayPort, kSitePort);
  REQUIRE(WaitFor(site, 8s, [&] { return !site.Orders().empty(); }));
  site.Do([&] {
    site.Promotions().DeliverHeldUp();
    std::uint64_t newest = 0;
    for (const auto& [holder, token] : site.Orders()) {
      CHECK(token >= newest);
      newest = token;
    }
  });
}

TEST_CASE("A restarted promoter keeps writes that only the primary has",
          "[Path]")
{
  // Guards against forgetting, at a restart, a server that has left and that
  // alone had acknowledged the primary's writes: a replica without them was
  // promoted.
  standin::SiteStandin site(kSitePort, {}, 4);
  site.Publish(3, { "main" });
  auto gateway = std::make_unique<LocalGateway>(kGatewayPort, kSitePort);
  auto caller = OpenWhenServed(kGatewayPort, "main");
  REQUIRE(caller);
  CHECK(caller->Query("WRITE item one").starts_with("COMPLETE"));
  CHECK(WaitFor(site, 4s, [&] {
    return site.Store().Has("camphorstep", "promoter") &&
           site.Store().Has("camphorstep", "copies/records");
  }));
  site.Do([&] {
    site.Group().SetDeaf(1, true);
    site.Group().SetDeaf(2, true);
  });
  REQUIRE(caller->Query("WRITE item two").starts_with("COMPLETE"));
  site.RemoveServer(3);
  caller.reset();
  gateway.reset();
  gateway = std::make_unique<LocalGateway>(kGatewayPort, kSitePort);
  REQUIRE(OpenWhenServed(kGatewayPort, "main"));
  // The primary has a write that no replica has, so it is replaced.
  CHECK(WaitFor(site, 12s, [&] { return !site.Orders().empty(); }));
  site.Do([&] { CHECK(site.Group().Data().at("item") == "two"); });
}
