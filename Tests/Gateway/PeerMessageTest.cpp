#include <catch2/catch.hpp>

#include <limits>
#include <string>

#include "Accounts.h"
#include "Gateway/PeerMessage.h"
#include "Wire/Codec.h"

using namespace camphorstep;
using namespace camphorstep::gateway;
using namespace std::chrono_literals;

namespace {

PeerReport
MakeReport()
{
  PeerReport report;
  report.mNumber = 300;
  report.mHeld = 250ms;
  report.mSequence = std::numeric_limits<std::uint64_t>::max();
  report.mIsPromoter = true;
  ServerReport server;
  server.mServer = IdOf<ServerId>("s1");
  server.mStatus = { true, 7, { 7, 90'000 }, 3, 60ms, 5, 49 };
  server.mApplied = { 7, 89'999 };
  server.mAge = 123'456us;
  report.mServers = { server };
  TableReport news;
  news.mTable = Table::Servers;
  news.mVersion = 128;
  news.mAge = 1s;
  news.mContent.emplace();
  news.mContent->mServers = {
    { "s1", "group", { "10.0.0.1", 5 }, "a", 6, true, true, 77 }
  };
  news.mContent->mHosts = { { "h1", { "10.0.0.2", 6 }, "b", 9, 500 } };
  report.mTables = { news };
  report.mLease = LeaseReport{ { "h1", 9, 4, 99 }, 5s, 6s };
  return report;
}

}

TEST_CASE("Messages between hosts are decoded as they were encoded",
          "[PeerMessage]")
{
  const PeerReport sent = MakeReport();
  const auto message = Decode<PeerMessage>(Encode(PeerMessage(sent)));
  const auto* const got = std::get_if<PeerReport>(&message);
  REQUIRE(got != nullptr);
  CHECK(got->mNumber == sent.mNumber);
  CHECK(got->mHeld == sent.mHeld);
  CHECK(got->mSequence == sent.mSequence);
  CHECK(got->mIsPromoter);
  REQUIRE(got->mServers.size() == 1);
  CHECK(got->mServers[0].mStatus.mPrimary);
  CHECK(got->mServers[0].mStatus.mReceived == Position{ 7, 90'000 });
  CHECK(got->mServers[0].mStatus.mPauseTerm == 3);
  CHECK(got->mServers[0].mStatus.mConnections == 49);
  CHECK(got->mServers[0].mApplied == Position{ 7, 89'999 });
  CHECK(got->mServers[0].mAge == 123'456us);
  REQUIRE(got->mTables.size() == 1);
  CHECK(got->mTables[0].mTable == Table::Servers);
  CHECK(got->mTables[0].mAge == 1s);
  CHECK(got->mTables[0].mContent->mServers ==
        sent.mTables[0].mContent->mServers);
  CHECK(got->mTables[0].mContent->mHosts == sent.mTables[0].mContent->mHosts);
  CHECK(got->mLease->mLease.mToken == 4);
  CHECK(got->mLease->mStoreTime == 6s);
}

TEST_CASE("Truncated messages between hosts are rejected", "[PeerMessage]")
{
  const std::string bytes = Encode(PeerMessage(MakeReport()));
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    CHECK_THROWS_AS(Decode<PeerMessage>(bytes.substr(0, n)), DecodeError);
  }
}

TEST_CASE("Client accounts travel at the end of a report", "[PeerMessage]")
{
  PeerReport report = MakeReport();
  TableReport news;
  news.mTable = Table::Operator;
  news.mContent.emplace();
  news.mContent->mRouting.emplace();
  news.mContent->mRouting->mVersion = 5;
  report.mTables.push_back(news);
  const std::string without = Encode(PeerMessage(report));
  AccountRules rules = MakeRules();
  rules.mAccounts[0].mRatePerSecond = 276;
  rules.mAccounts[0].mBurst = 300;
  report.mTables.back().mContent->mRouting->mAccountRules = rules;
  const std::string with = Encode(PeerMessage(report));
  // A deployment without accounts exchanges the same bytes as before.
  CHECK(with.starts_with(without));
  CHECK(with.size() > without.size());
  CHECK(with.find("ka") == std::string::npos);
  const auto message = Decode<PeerMessage>(with);
  const auto& got = std::get<PeerReport>(message);
  CHECK(got.mTables.back().mContent->mRouting->mAccountRules == rules);
  const auto bare = Decode<PeerMessage>(without);
  CHECK_FALSE(std::get<PeerReport>(bare)
                .mTables.back()
                .mContent->mRouting->mAccountRules);
  for (std::size_t n = without.size() + 1; n < with.size(); ++n) {
    CHECK_THROWS_AS(Decode<PeerMessage>(with.substr(0, n)), DecodeError);
  }
}

TEST_CASE("Retired terms travel at the end of a report", "[PeerMessage]")
{
  PeerReport report = MakeReport();
  const std::string without = Encode(PeerMessage(report));
  report.mRetiredTerms = RetiredTermsReport{ 130, 20ms, { { "group", 4 } } };
  const std::string with = Encode(PeerMessage(report));
  CHECK(with.starts_with(without));
  const auto message = Decode<PeerMessage>(with);
  const auto& got = std::get<PeerReport>(message);
  REQUIRE(got.mRetiredTerms);
  CHECK(got.mRetiredTerms->mVersion == 130);
  CHECK(got.mRetiredTerms->mAge == 20ms);
  REQUIRE(got.mRetiredTerms->mTerms.size() == 1);
  CHECK(got.mRetiredTerms->mTerms[0].mGroup == "group");
  CHECK(got.mRetiredTerms->mTerms[0].mTerm == 4);
  for (std::size_t n = without.size() + 1; n < with.size(); ++n) {
    CHECK_THROWS_AS(Decode<PeerMessage>(with.substr(0, n)), DecodeError);
  }
  CHECK_THROWS_AS(Decode<PeerMessage>(without + '\x07'), DecodeError);
}

TEST_CASE("Client accounts without a configuration are rejected",
          "[PeerMessage]")
{
  const std::string bytes =
    Encode(PeerMessage(MakeReport())) + Encode(std::optional(MakeRules()));
  CHECK_THROWS_AS(Decode<PeerMessage>(bytes), DecodeError);
}

TEST_CASE("An unterminated packed number is rejected", "[PeerMessage]")
{
  // The type of the message, then the first number of a query, every byte of
  // which announces another one.
  std::string bytes(4, '\0');
  bytes += std::string(64, '\xff');
  CHECK_THROWS_AS(Decode<PeerMessage>(bytes), DecodeError);
}
