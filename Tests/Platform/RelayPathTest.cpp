#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "Standin/LocalGateway.h"
#include "Standin/SiteStandin.h"

using namespace camphorstep;
using namespace std::chrono_literals;
using standin::Caller;
using standin::GatewayProcess;
using standin::OpenWhenServed;

namespace {

constexpr std::uint16_t kSitePort = 19'010;
constexpr std::uint16_t kOwnerPort = 19'020;
constexpr std::uint16_t kEntryPort = 19'030;
/// One connection of a server is left to hosts, of which there are two.
constexpr std::uint32_t kFewConnections = 5;

/// Two gateways of one data centre, of which the first owns the connections
/// to the group, and the site that they serve.
struct TwoGateways
{
  TwoGateways()
  {
    mSite.SetMaxConnections(kFewConnections);
    mSite.Publish(3, { "main", "near" });
    for (int n = 0; n < 100 && !AreReady(); ++n) {
      std::this_thread::sleep_for(100ms);
    }
  }

  bool AreReady() const
  {
    return mOwner.MetricOf("camphorstep_ready") == 1 &&
           mEntry.MetricOf("camphorstep_ready") == 1;
  }

  /// Opens a session at the entry host once it passes sessions on.
  std::unique_ptr<Caller> OpenRelayed()
  {
    const std::string metric = "camphorstep_sessions_taken_over_total";
    for (int n = 0; n < 100; ++n) {
      const std::uint64_t before = mOwner.MetricOf(metric);
      auto caller = OpenWhenServed(kEntryPort, "main");
      if (caller && mOwner.MetricOf(metric) > before &&
          caller->Query("WRITE item one").starts_with("COMPLETE")) {
        return caller;
      }
      std::this_thread::sleep_for(100ms);
    }
    return nullptr;
  }

  GatewayProcess mOwner{ kOwnerPort, kSitePort, { "owner", 900.0, true } };
  GatewayProcess mEntry{ kEntryPort, kSitePort, { "entry", 0.002, true } };
  standin::SiteStandin mSite{ kSitePort };
};

/// Whether a new session at the entry host is served within some seconds.
bool
IsServed()
{
  for (int n = 0; n < 100; ++n) {
    const auto caller = OpenWhenServed(kEntryPort, "main");
    if (caller && caller->Query("READ item").starts_with("ROW")) {
      return true;
    }
    std::this_thread::sleep_for(50ms);
  }
  return false;
}

}

TEST_CASE("A session runs at the owner of the group's connections",
          "[RelayPath]")
{
  TwoGateways gateways;
  const auto caller = gateways.OpenRelayed();
  REQUIRE(caller);
  CHECK(caller->Query("READ item") == "ROW one\nCOMPLETE sig-q2\n");
  CHECK(caller->Query("SET who me") == "COMPLETE -\n");
  CHECK(caller->Query("PREPARE s WRITE q") == "COMPLETE -\n");
  CHECK(caller->Query("BEGIN") == "COMPLETE -\n");
  CHECK(caller->mReady.starts_with("READY T"));
  CHECK(caller->Query("EXECUTE s item@me two") == "COMPLETE sig-q6\n");
  CHECK(caller->Query("COMMIT") == "COMPLETE sig-q7\n");
  CHECK(caller->mReady.starts_with("READY I 1."));
  CHECK(caller->Query("EXECUTE other item x").starts_with("ERROR NOSUCHSTMT"));
  CHECK(caller->Query("nonsense").starts_with("ERROR MALFORMED"));
  // Another session through the same hosts has no values.
  Caller other(kEntryPort, "near");
  CHECK(other.Query("READ item@me").starts_with("ROW two\n"));
  gateways.mSite.Do([&] {
    CHECK(gateways.mSite.Group().mEffects["item@me"] == 1);
    CHECK(gateways.mSite.Group().mViolations ==
          std::vector<std::string>{ "item@me" });
  });
}

TEST_CASE("The owner is killed in the middle of a transaction", "[RelayPath]")
{
  TwoGateways gateways;
  const auto caller = gateways.OpenRelayed();
  REQUIRE(caller);
  CHECK(caller->Query("BEGIN") == "COMPLETE -\n");
  CHECK(caller->Query("WRITE gone one").starts_with("COMPLETE"));
  gateways.mOwner.Kill();
  CHECK(caller->Query("COMMIT").starts_with("ERROR ABORTED"));
  CHECK(IsServed());
  gateways.mSite.Do(
    [&] { CHECK(gateways.mSite.Group().mEffects["gone"] == 0); });
}

TEST_CASE("The owner is frozen in the middle of a session", "[RelayPath]")
{
  TwoGateways gateways;
  const auto caller = gateways.OpenRelayed();
  REQUIRE(caller);
  gateways.mOwner.Freeze();
  // The route's time limit is 4 s.
  CHECK(caller->Query("WRITE item two").starts_with("ERROR INDOUBT"));
  CHECK(IsServed());
}
