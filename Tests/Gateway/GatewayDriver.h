#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Gateway/Effect.h"
#include "Gateway/Event.h"
#include "Gateway/State.h"

namespace camphorstep::gateway {

/// Two groups' worth of facts in one place: drives a gateway's core in
/// virtual time, with a group of three servers whose answers the test writes.
class GatewayDriver
{
public:
  GatewayDriver();

  /// Gives the core an event and keeps the effects.
  void Deliver(EventBody aEvent);

  /// Lets time pass in small steps, so that timers fire when they are due.
  void AdvanceTime(Duration aTime);

  /// Removes and returns the oldest effect of a kind, if there is one.
  template<typename Body>
  std::optional<Body> Take()
  {
    for (auto it = mEffects.begin(); it != mEffects.end(); ++it) {
      if (const Body* const body = std::get_if<Body>(&*it)) {
        const Body found = *body;
        mEffects.erase(it);
        return found;
      }
    }
    return std::nullopt;
  }

  /// Publishes routes: "main" reads at the primary, "near" has bounded
  /// staleness, "own" reads its own writes.
  void Publish(std::uint64_t aVersion);

  /// Lists the servers "s1" to "s3" of the group, and the fleet's table.
  void ListServers();

  /// Answers the table calls that are underway with nothing new.
  void AnswerTables();

  /// Opens all connections that the core asks for, but those to servers that
  /// are down.
  void OpenLinks();

  /// Answers status requests and orders by the servers' state; returns how
  /// many there were.
  std::size_t AnswerControl();

  /// Opens connections and answers control requests until nothing is left.
  void Settle();

  /// Lets time pass while the servers answer.
  void Run(Duration aTime);

  /// Publishes client accounts with the routes.
  void PublishAccounts(std::uint64_t aVersion, AccountRules aRules);

  /// Has the store answer the watch of the operator's table with nothing new.
  void ConfirmConfiguration();

  /// Opens a session, with a key if one is given, and forgets the effects of
  /// doing so.
  void OpenSession(std::uint64_t aSession,
                   const std::string& aDatabase,
                   const std::string& aKey = "");

  void Send(std::uint64_t aSession,
            StatementKind aKind,
            const std::string& aName = "",
            const std::string& aArgument = "");

  /// The next request of a caller's that a server was sent; answers
  /// preparations on the way.
  std::optional<SendOnLink> NextStatement();

  /// Answers a request.
  void Reply(const SendOnLink& aRequest,
             ResultCode aCode = ResultCode::Ok,
             TransactionState aState = TransactionState::None);

  /// The next answer to a caller.
  std::optional<AnswerCaller> Answer() { return Take<AnswerCaller>(); }

  /// The name of the server at a connection's other end.
  std::string ServerOf(LinkId aLink) const;

  /// The account in whose name a connection was opened.
  std::string AccountOf(LinkId aLink) const;

  /// Breaks a connection.
  void BreakLink(LinkId aLink);

  /// A backend server's own state.
  struct FakeServer
  {
    std::string mName;
    bool mDown = false;
    bool mPrimary = false;
    Term mTerm = 1;
    std::uint64_t mIndex = 100;
    /// The index that it has applied, if it is behind mIndex.
    std::optional<std::uint64_t> mAppliedIndex;
    Duration mLag{ 0 };
    Term mPauseTerm = 0;
    std::uint32_t mConnections = 0;
    /// Whether it refuses connections because it holds too many.
    bool mIsFull = false;
  };

  FakeServer& Server(const std::string& aName);

  State mState;
  Instant mNow{ std::chrono::seconds(1000) };
  std::deque<Effect> mEffects;
  std::vector<FakeServer> mServers;
  std::uint64_t mStoreVersion = 10;
  /// What the servers have written to the store since the last read of their
  /// table.
  std::vector<RowChange<ServerEntry>> mServerChanges;
  /// Whether the store answers reads of the servers' changes.
  bool mReadsServers = false;
  /// The records of the groups in the store.
  std::vector<GroupRecord> mStoredRecords;
  /// The client accounts that are published, if there are any.
  std::optional<AccountRules> mAccountRules;
  /// The accounts in whose names connections were opened.
  std::map<LinkId, std::string> mLinkAccounts;

private:
  std::optional<WatchTable> TakeWatch(Table aTable);
  void StoreRecords(const std::vector<GroupRecord>& aRecords);
  BackendReply StatusReply(FakeServer& aServer, const BackendRequest& aRequest);
};

}
