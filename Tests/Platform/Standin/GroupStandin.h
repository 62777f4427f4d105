#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <cxxtools/connectable.h>
#include <cxxtools/net/tcpserver.h>

#include "Model/Topology.h"
#include "platform/LineConnection.h"

namespace camphorstep::standin {

/// A replicated group of backend servers that speak the platform's wire.
/// Replicas receive and apply commits at once; a commit is acknowledged if a
/// replica that is not paused has received it.
class GroupStandin
{
public:
  GroupStandin(cxxtools::SelectorBase& aLoop,
               std::string aName,
               const std::vector<Address>& aAddresses);

  std::string NameOf(std::size_t aServer) const;

  /// Promotes a server; returns false if it is not running.
  bool Promote(const std::string& aServer);

  /// Ends a server and all its connections.
  void Kill(std::size_t aServer);

  /// How often a write took effect, by item.
  std::map<std::string, int> mEffects;
  /// Statements that ran with other session values than they should have
  /// had, or in another's transaction.
  std::vector<std::string> mViolations;

private:
  struct Server;

  /// A connection and its session.
  struct Connection
  {
    std::unique_ptr<platform::LineConnection> mLines;
    bool mStarted = false;
    char mState = 'I';
    std::vector<std::pair<std::string, std::string>> mWrites;
    std::map<std::string, std::string> mValues;
    std::map<std::string, bool> mPrepared;
  };

  /// A backend server.
  struct Server : public cxxtools::Connectable
  {
    Server(GroupStandin& aGroup,
           cxxtools::SelectorBase& aLoop,
           std::string aName,
           const Address& aAddress);

    void OnPending(cxxtools::net::TcpServer& aListener);
    void Handle(Connection& aConnection, std::string_view aLine);
    void HandleQuery(Connection& aConnection, std::string_view aFields);
    std::string Run(Connection& aConnection,
                    const std::string& aId,
                    std::string_view aText);
    std::string RunStatement(Connection& aConnection,
                             const std::string& aId,
                             bool aWrites,
                             std::string_view aArguments);
    std::string Control(std::string_view aWord, std::string_view aRest);
    std::string End(Connection& aConnection, bool aCommit, const std::string&);
    std::string PositionText() const;

    GroupStandin& mGroup;
    cxxtools::SelectorBase& mLoop;
    std::string mName;
    cxxtools::net::TcpServer mListener;
    std::vector<std::unique_ptr<Connection>> mConnections;
    std::map<std::string, std::string> mData;
    bool mDown = false;
    bool mPrimary = false;
    std::uint64_t mTerm = 1;
    std::uint64_t mIndex = 0;
    std::uint64_t mPausedBy = 0;
  };

  /// Gives a commit to the replicas; returns whether one has received it.
  bool Replicate(
    Server& aPrimary,
    const std::vector<std::pair<std::string, std::string>>& aWrites);

  std::string mName;
  std::vector<std::unique_ptr<Server>> mServers;
};

}
