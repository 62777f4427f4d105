#include <catch2/catch.hpp>

#include "Configuration/Rows.h"
#include "Support/Hosts.h"

using namespace camphorstep;
using namespace camphorstep::testing;

namespace {

constexpr Duration kAnswerTimeout = std::chrono::seconds(12);
constexpr Duration kDistributionTimeout = std::chrono::seconds(2);

}

TEST_CASE("A publication is in force on every host within two seconds",
          "[Publication]")
{
  Hosts hosts(6);
  const auto call = hosts.Publish(0, 0, "one", ProfileText(1));
  hosts.Advance(kDistributionTimeout);
  CHECK(hosts.Answered(call, ResultCode::Ok, Outcome::Done));
  for (std::size_t n = 0; n < 6; ++n) {
    CHECK(hosts.VersionAt(n) == 1);
  }
  CHECK(hosts.mStore.mRows.contains(AuditKey(1, "one")));
}

TEST_CASE("A lost store answer is resolved by the change identifier",
          "[Publication]")
{
  Hosts hosts(2);
  hosts.Advance(std::chrono::seconds(1));
  const StoreFate fate =
    GENERATE(StoreFate::LostBefore, StoreFate::LostAfter, StoreFate::TooLate);
  const auto call = hosts.Publish(0, 0, "one", ProfileText(1));
  hosts.mStore.mFates = { fate };
  hosts.Advance(kAnswerTimeout);
  CHECK(hosts.Answered(call, ResultCode::Ok, Outcome::Done));
  CHECK(hosts.mStore.VersionOf(kHeadKey) == 1);
  CHECK(hosts.VersionAt(1) == 1);
}

TEST_CASE(
  "Of two concurrent publications one fails and names the other's author",
  "[Publication]")
{
  Hosts hosts(4);
  const auto first = hosts.Publish(0, 0, "one", ProfileText(1), "ana");
  const auto second = hosts.Publish(3, 0, "two", ProfileText(2), "berto");
  hosts.Advance(kAnswerTimeout);
  const bool firstWon = hosts.Answered(first, ResultCode::Ok, Outcome::Done);
  const auto loser = firstWon ? second : first;
  CHECK(hosts.Answered(loser, ResultCode::VersionConflict, Outcome::NotRun));
  const std::string winner = firstWon ? "'ana'" : "'berto'";
  CHECK_THAT(hosts.mAnswers.at(loser).mMessage,
             Catch::Contains(winner) && Catch::Contains("version 1"));
  CHECK(hosts.mStore.VersionOf(kHeadKey) == 1);
}

TEST_CASE(
  "An outage before the write is a refusal, after it an unknown outcome",
  "[Publication]")
{
  Hosts hosts(2);
  hosts.mStore.mDown = true;
  const auto refused = hosts.Publish(0, 0, "one", ProfileText(1));
  hosts.Advance(kAnswerTimeout);
  CHECK(hosts.Answered(refused, ResultCode::StoreUnavailable, Outcome::NotRun));
  hosts.mStore.mDown = false;
  hosts.Advance(std::chrono::seconds(4));
  const auto unknown = hosts.Publish(0, 0, "two", ProfileText(2));
  hosts.mStore.mFates = { StoreFate::LostAfter };
  hosts.Advance(std::chrono::milliseconds(100));
  hosts.mStore.mDown = true;
  hosts.Advance(kAnswerTimeout);
  CHECK(
    hosts.Answered(unknown, ResultCode::StoreUnavailable, Outcome::Unknown));
  CHECK_THAT(hosts.mAnswers.at(unknown).mMessage, Catch::Contains("two"));
  hosts.mStore.mDown = false;
  hosts.Advance(std::chrono::seconds(4));
  const auto repeated = hosts.Publish(1, 0, "two", ProfileText(2));
  hosts.Advance(kAnswerTimeout);
  CHECK(hosts.Answered(repeated, ResultCode::Ok, Outcome::Done));
  CHECK(hosts.mStore.VersionOf(kHeadKey) == 1);
}

TEST_CASE("A publication to a store slow by ten seconds has an unknown outcome",
          "[Publication]")
{
  Hosts hosts(2);
  const auto call = hosts.Publish(0, 0, "one", ProfileText(1));
  hosts.mStore.mSlow = true;
  hosts.Advance(kAnswerTimeout);
  CHECK(hosts.Answered(call, ResultCode::StoreUnavailable, Outcome::Unknown));
  hosts.mStore.mSlow = false;
  hosts.Advance(kAnswerTimeout);
  CHECK(hosts.mStore.VersionOf(kHeadKey) == 1);
  CHECK(hosts.VersionAt(0) == 1);
  CHECK(hosts.VersionAt(1) == 1);
}

TEST_CASE("A change identifier used for another change is refused",
          "[Publication]")
{
  Hosts hosts(2);
  hosts.Publish(0, 0, "one", ProfileText(1));
  hosts.Advance(kDistributionTimeout);
  const auto other = hosts.Publish(0, 0, "one", ProfileText(2));
  const auto same = hosts.Publish(0, 1, "one", ProfileText(1));
  hosts.Advance(kDistributionTimeout);
  CHECK(hosts.Answered(other, ResultCode::InvalidField, Outcome::NotRun));
  CHECK(hosts.Answered(same, ResultCode::Replayed, Outcome::Done));
}

TEST_CASE("Profiles that fail the checks are refused with a reason",
          "[Publication]")
{
  Hosts hosts(2);
  const auto refused = [&hosts](const std::string& aText) {
    const auto call = hosts.Publish(0, 0, "one", aText);
    return hosts.Answered(call, ResultCode::InvalidProfile, Outcome::NotRun);
  };
  CHECK(refused("[profile.p]\ncolour = red\n"));
  CHECK(refused("[service.s]\nprofile = p\n"));
  CHECK(refused("[profile.p]\nrank = urgent\n"));
  CHECK(refused("no ini"));
  const auto call = hosts.Publish(0, 0, "Bad Id", ProfileText(1));
  CHECK(hosts.Answered(call, ResultCode::InvalidProfile, Outcome::NotRun));
}
