#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "Dispatcher/TransactionCaps.h"

using namespace camphorstep;

TEST_CASE(
  "Transactions stay within their caps and leave connections for statements",
  "[Transactions]")
{
  CHECK(rc::check("in whatever order they begin", [] {
    Configuration configuration;
    for (RankRules& rules : configuration.mRanks) {
      rules.mMaxTransactions = *rc::gen::inRange(0, 20);
    }
    Server server;
    server.mSlots = *rc::gen::inRange(1, 8);
    server.mMaxConnections = 2 * server.mSlots + *rc::gen::inRange(4, 60);
    ServerDispatch dispatch;
    std::array<int, kRankCount> open{};
    const auto begin = [&](Rank aRank) {
      if (!CanBeginTransaction(dispatch, server, configuration, aRank)) {
        return false;
      }
      ServerConnection connection;
      connection.mTransaction =
        TransactionId{ 1, dispatch.mConnections.size() + 1 };
      connection.mTransactionRank = aRank;
      dispatch.mConnections.emplace(
        ConnectionId{ dispatch.mConnections.size() + 1 }, connection);
      ++open[IndexOf(aRank)];
      return true;
    };
    const auto order = *rc::gen::container<std::vector<int>>(
      100, rc::gen::inRange(0, static_cast<int>(kRankCount)));
    for (const int rank : order) {
      begin(kRanks[static_cast<std::size_t>(rank)]);
    }
    const int all = open[0] + open[1] + open[2];
    for (const Rank rank : kRanks) {
      RC_ASSERT(open[IndexOf(rank)] <=
                configuration.mRanks[IndexOf(rank)].mMaxTransactions);
    }
    const int left = PoolLimit(server) - all;
    RC_ASSERT(left >= std::min(server.mSlots, PoolLimit(server) - 1));
  }));
}

TEST_CASE("Less urgent transactions cannot use up all connections",
          "[Transactions]")
{
  Configuration configuration;
  for (RankRules& rules : configuration.mRanks) {
    rules.mMaxTransactions = 100;
  }
  Server server;
  ServerDispatch dispatch;
  std::uint64_t count = 0;
  while (
    CanBeginTransaction(dispatch, server, configuration, Rank::Background)) {
    ServerConnection connection;
    connection.mTransaction = TransactionId{ 1, ++count };
    connection.mTransactionRank = Rank::Background;
    dispatch.mConnections.emplace(ConnectionId{ count }, connection);
  }
  CHECK(count >= 1);
  CHECK_FALSE(
    CanBeginTransaction(dispatch, server, configuration, Rank::Normal));
  CHECK(CanBeginTransaction(dispatch, server, configuration, Rank::Urgent));
}
