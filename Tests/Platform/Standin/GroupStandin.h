#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <cxxtools/connectable.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/timer.h>

#include "Model/Topology.h"
#include "platform/LineConnection.h"

namespace camphorstep::standin {

/// A replicated group of backend servers that speak the platform's wire.
/// Replicas receive and apply commits at once; a commit is acknowledged once a
/// replica has received it.
class GroupStandin : public cxxtools::Connectable
{
public:
  GroupStandin(cxxtools::SelectorBase& aLoop,
               std::string aName,
               const std::vector<Address>& aAddresses);

  std::string NameOf(std::size_t aServer) const;

  /// Promotes a server, at once or after the delay; returns false if it is not
  /// running.
  bool Promote(const std::string& aServer);

  /// Has servers lead some time after they were promoted, if they still run.
  void SetPromotionDelay(std::chrono::milliseconds aDelay);

  /// The server that leads the newest term; nothing if there is none.
  std::optional<std::size_t> LeadingServer();

  /// Ends a server and all its connections.
  void Kill(std::size_t aServer);

  /// Starts a server that was ended, as a replica with its log if another was
  /// promoted meanwhile.
  void Revive(std::size_t aServer);

  /// Has a replica receive nothing, or receive again.
  void SetDeaf(std::size_t aServer, bool aIsDeaf);

  std::size_t CountServers() const { return mServers.size(); }
  bool IsPrimary(std::size_t aServer) const;

  /// The data of the server that was promoted last.
  const std::map<std::string, std::string>& Data() const;

  /// How often a write took effect, by item.
  std::map<std::string, int> mEffects;
  /// Statements that ran with other session values than they should have
  /// had, or in another's transaction.
  std::vector<std::string> mViolations;
  /// Called with the log of a server that begins to lead.
  std::function<void(const std::map<std::string, std::string>&)> mOnLeading;
  /// Called with the id of each statement of a caller that a server is sent,
  /// and the account in whose name the connection was opened.
  std::function<void(const std::string&, const std::string&)> mOnStatement;

private:
  struct Server;

  /// A connection and its session.
  struct Connection
  {
    std::unique_ptr<platform::LineConnection> mLines;
    bool mStarted = false;
    /// Whether the other side has ended it.
    bool mIsEnded = false;
    /// In whose name it was opened.
    std::string mAccount;
    char mState = 'I';
    std::vector<std::pair<std::string, std::string>> mWrites;
    std::map<std::string, std::string> mValues;
    std::map<std::string, bool> mPrepared;
    /// The answer to a commit that no replica has received yet.
    std::string mPending;
    /// Whether its transaction wrote, and its server has lost the lead.
    bool mIsLost = false;
  };

  /// A backend server.
  struct Server : public cxxtools::Connectable
  {
    Server(GroupStandin& aGroup,
           cxxtools::SelectorBase& aLoop,
           std::string aName,
           const Address& aAddress);

    void OnPending(cxxtools::net::TcpServer& aListener);
    void Listen();
    /// Frees connections that have ended.
    void CollectEnded();
    void Handle(Connection& aConnection, std::string_view aLine);
    void HandleQuery(Connection& aConnection, std::string_view aFields);
    std::string Run(Connection& aConnection,
                    const std::string& aId,
                    std::string_view aText);
    std::string RunStatement(Connection& aConnection,
                             const std::string& aId,
                             bool aWrites,
                             std::string_view aArguments);
    /// Answers a statement of a transaction that is lost.
    std::string FailLost(Connection& aConnection, std::string_view aWord);
    std::string Control(std::string_view aWord, std::string_view aRest);
    std::string End(Connection& aConnection, bool aCommit, const std::string&);
    std::string PositionText() const;
    /// The number of connections that have not ended.
    std::size_t CountOpen() const;
    /// Whether the log has a position that a statement names.
    bool HasPosition(std::string_view aPosition) const;

    GroupStandin& mGroup;
    cxxtools::SelectorBase& mLoop;
    std::string mName;
    Address mAddress;
    std::unique_ptr<cxxtools::net::TcpServer> mListener;
    std::vector<std::unique_ptr<Connection>> mConnections;
    std::map<std::string, std::string> mData;
    bool mDown = false;
    bool mDeaf = false;
    bool mPrimary = false;
    /// When it leads, after it was promoted.
    std::optional<std::chrono::steady_clock::time_point> mLeadsAt;
    /// When another server was promoted while this one led.
    std::optional<std::chrono::steady_clock::time_point> mDeposedAt;
    std::uint64_t mTerm = 1;
    std::uint64_t mIndex = 0;
    std::uint64_t mPauseTerm = 0;
  };

  /// The server of the highest term that leads, or nullptr.
  Server* Leader();

  /// Has a server lead the next term with the log that it has.
  void Lead(Server& aServer);

  /// Has all replicas that can receive take the leader's log. Returns whether
  /// there is one that does.
  bool Replicate(const Server& aPrimary);

  /// Answers the commits that have been received by a replica now, and has
  /// servers that were replaced a second ago follow and servers lead whose
  /// time has come.
  void Advance();
  void OnTimer();

  cxxtools::Timer mTimer;
  std::string mName;
  std::chrono::milliseconds mPromotionDelay{ 0 };
  std::vector<std::unique_ptr<Server>> mServers;
};

}
