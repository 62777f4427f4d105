#include "GroupStandin.h"

#include <algorithm>
#include <utility>

#include "platform/WireText.h"

namespace camphorstep::standin {

namespace {

using platform::SplitMessage;
using platform::TakeField;
using platform::WireMessage;

const std::string kDone = "COMPLETE -\r\n";
constexpr int kBacklog = 64;
constexpr double kTimerMs = 20.0;
/// A server that was replaced follows its successor after this time.
constexpr std::chrono::seconds kFollowDelay{ 1 };

std::string
Error(const std::string& aWord)
{
  return "ERROR " + aWord + " refused\r\n";
}

}

GroupStandin::GroupStandin(cxxtools::SelectorBase& aLoop,
                           std::string aName,
                           const std::vector<Address>& aAddresses)
  : mName(std::move(aName))
{
  mTimer.setSelector(aLoop);
  cxxtools::connect(mTimer.timeout, *this, &GroupStandin::OnTimer);
  mTimer.start(cxxtools::Milliseconds(kTimerMs));
  for (std::size_t n = 0; n < aAddresses.size(); ++n) {
    mServers.push_back(std::make_unique<Server>(
      *this, aLoop, "i-" + mName + std::to_string(n), aAddresses[n]));
  }
  mServers.front()->mPrimary = true;
}

std::string
GroupStandin::NameOf(std::size_t aServer) const
{
  return mServers[aServer]->mName;
}

bool
GroupStandin::Promote(const std::string& aServer)
{
  for (const auto& server : mServers) {
    if (server->mName != aServer || server->mDown) {
      continue;
    }
    if (server->mPrimary) {
      return true;
    }
    if (mPromotionDelay.count() > 0) {
      server->mLeadsAt = std::chrono::steady_clock::now() + mPromotionDelay;
    } else {
      Lead(*server);
      Advance();
    }
    return true;
  }
  return false;
}

void
GroupStandin::SetPromotionDelay(std::chrono::milliseconds aDelay)
{
  mPromotionDelay = aDelay;
}

void
GroupStandin::Lead(Server& aServer)
{
  std::uint64_t term = 0;
  for (const auto& server : mServers) {
    term = std::max(term, server->mTerm);
    if (server->mPrimary) {
      server->mDeposedAt = std::chrono::steady_clock::now();
    }
  }
  aServer.mPrimary = true;
  aServer.mDeposedAt.reset();
  aServer.mTerm = term + 1;
  aServer.mPauseTerm = 0;
  if (mOnLeading) {
    mOnLeading(aServer.mData);
  }
}

void
GroupStandin::Kill(std::size_t aServer)
{
  Server& server = *mServers[aServer];
  server.mDown = true;
  server.mLeadsAt.reset();
  server.mListener.reset();
  for (const auto& connection : server.mConnections) {
    connection->mLines->Socket().Close();
    connection->mPending.clear();
    connection->mIsEnded = true;
  }
}

void
GroupStandin::Revive(std::size_t aServer)
{
  Server& server = *mServers[aServer];
  if (!server.mDown) {
    return;
  }
  server.mDown = false;
  server.mPauseTerm = 0;
  server.mPrimary = Leader() == &server;
  server.Listen();
  Advance();
}

void
GroupStandin::SetDeaf(std::size_t aServer, bool aIsDeaf)
{
  mServers[aServer]->mDeaf = aIsDeaf;
  Advance();
}

std::optional<std::size_t>
GroupStandin::LeadingServer()
{
  const Server* const leader = Leader();
  for (std::size_t n = 0; n < mServers.size(); ++n) {
    if (mServers[n].get() == leader) {
      return n;
    }
  }
  return std::nullopt;
}

bool
GroupStandin::IsPrimary(std::size_t aServer) const
{
  return mServers[aServer]->mPrimary;
}

const std::map<std::string, std::string>&
GroupStandin::Data() const
{
  const Server* newest = mServers.front().get();
  for (const auto& server : mServers) {
    const bool leads = server->mPrimary && !newest->mPrimary;
    if (leads || (server->mPrimary == newest->mPrimary &&
                  server->mTerm > newest->mTerm)) {
      newest = server.get();
    }
  }
  return newest->mData;
}

GroupStandin::Server*
GroupStandin::Leader()
{
  Server* leader = nullptr;
  for (const auto& server : mServers) {
    if (server->mPrimary &&
        (leader == nullptr || server->mTerm > leader->mTerm)) {
      leader = server.get();
    }
  }
  return leader;
}

bool
GroupStandin::Replicate(const Server& aPrimary)
{
  // Replicas follow the newest term only.
  if (&aPrimary != Leader()) {
    return false;
  }
  bool received = false;
  for (const auto& server : mServers) {
    if (server.get() == &aPrimary || server->mDown || server->mDeaf ||
        server->mPrimary || server->mPauseTerm != 0 ||
        server->mTerm > aPrimary.mTerm) {
      continue;
    }
    received = true;
    if (server->mTerm != aPrimary.mTerm || server->mIndex != aPrimary.mIndex) {
      server->mTerm = aPrimary.mTerm;
      server->mIndex = aPrimary.mIndex;
      server->mData = aPrimary.mData;
    }
  }
  return received;
}

void
GroupStandin::Advance()
{
  const auto now = std::chrono::steady_clock::now();
  for (const auto& server : mServers) {
    if (server->mDeposedAt && now - *server->mDeposedAt > kFollowDelay) {
      server->mPrimary = false;
      server->mDeposedAt.reset();
    }
    if (server->mLeadsAt && now >= *server->mLeadsAt) {
      server->mLeadsAt.reset();
      if (!server->mPrimary) {
        Lead(*server);
      }
    }
  }
  for (const auto& server : mServers) {
    if (!server->mPrimary || server->mDown || !Replicate(*server)) {
      continue;
    }
    for (const auto& connection : server->mConnections) {
      if (!connection->mPending.empty()) {
        connection->mLines->Socket().Append(
          std::exchange(connection->mPending, {}));
        connection->mLines->Socket().Flush();
      }
    }
  }
}

void
GroupStandin::OnTimer()
{
  for (const auto& server : mServers) {
    server->CollectEnded();
  }
  Advance();
}

GroupStandin::Server::Server(GroupStandin& aGroup,
                             cxxtools::SelectorBase& aLoop,
                             std::string aName,
                             const Address& aAddress)
  : mGroup(aGroup)
  , mLoop(aLoop)
  , mName(std::move(aName))
  , mAddress(aAddress)
{
  Listen();
}

void
GroupStandin::Server::Listen()
{
  mListener = std::make_unique<cxxtools::net::TcpServer>(
    mAddress.mIp,
    mAddress.mPort,
    kBacklog,
    cxxtools::net::TcpServer::REUSEADDR);
  cxxtools::connect(mListener->connectionPending, *this, &Server::OnPending);
  mListener->setSelector(mLoop);
}

bool
GroupStandin::Server::HasPosition(std::string_view aPosition) const
{
  const std::string text(aPosition);
  const std::size_t dot = text.find('.');
  const std::uint64_t term = std::stoull(text.substr(0, dot));
  const std::uint64_t index = std::stoull(text.substr(dot + 1));
  return term <= mTerm && index <= mIndex;
}

void
GroupStandin::Server::OnPending(cxxtools::net::TcpServer& aListener)
{
  std::erase_if(mConnections, [](const auto& aConnection) {
    return aConnection->mLines->Socket().IsClosed();
  });
  mConnections.push_back(std::make_unique<Connection>());
  Connection* const connection = mConnections.back().get();
  connection->mLines = std::make_unique<platform::LineConnection>(
    platform::LineConnection::Handlers{
      [] {},
      [this, connection](std::string_view aLine) {
        Handle(*connection, aLine);
      },
      [connection](bool) { connection->mIsEnded = true; } });
  connection->mLines->Socket().Accept(mLoop, aListener);
}

void
GroupStandin::Server::CollectEnded()
{
  std::erase_if(mConnections,
                [](const auto& aConnection) { return aConnection->mIsEnded; });
}

void
GroupStandin::Server::Handle(Connection& aConnection, std::string_view aLine)
{
  const WireMessage message = SplitMessage(aLine);
  if (message.mWord == "STARTUP") {
    std::string_view rest = message.mRest;
    const std::string_view group = TakeField(rest);
    aConnection.mAccount = TakeField(rest);
    const bool good = group == mGroup.mName && (rest.empty() || rest == mName);
    aConnection.mStarted = good;
    aConnection.mLines->Socket().Append(
      good ? "READY I " + PositionText() + "\r\n" : Error("MISROUTED"));
  } else if (message.mWord == "QUERY" && aConnection.mStarted) {
    HandleQuery(aConnection, message.mRest);
  }
  aConnection.mLines->Socket().Flush();
}

void
GroupStandin::Server::HandleQuery(Connection& aConnection,
                                  std::string_view aFields)
{
  const std::string id(TakeField(aFields));
  if (id != "-" && mGroup.mOnStatement) {
    mGroup.mOnStatement(id, aConnection.mAccount);
  }
  const std::string answer = Run(aConnection, id, aFields);
  const std::string whole = answer + "READY " +
                            std::string(1, aConnection.mState) + " " +
                            PositionText() + "\r\n";
  if (aConnection.mPending.empty()) {
    aConnection.mLines->Socket().Append(whole);
  } else {
    aConnection.mPending = whole;
  }
}

std::string
GroupStandin::Server::Run(Connection& aConnection,
                          const std::string& aId,
                          std::string_view aText)
{
  WireMessage message = SplitMessage(aText);
  if (message.mWord == "AFTER") {
    if (!HasPosition(TakeField(message.mRest))) {
      return Error("LAGGING");
    }
    message = SplitMessage(message.mRest);
  }
  if (aConnection.mIsLost) {
    return FailLost(aConnection, message.mWord);
  }
  if (message.mWord == "BEGIN") {
    if (message.mRest.empty() && !mPrimary) {
      return Error("READONLY");
    }
    aConnection.mState = 'T';
    return kDone;
  }
  if (message.mWord == "COMMIT" || message.mWord == "ROLLBACK") {
    return End(aConnection, message.mWord == "COMMIT", aId);
  }
  if (message.mWord == "SET") {
    aConnection.mValues[std::string(TakeField(message.mRest))] = message.mRest;
    return kDone;
  }
  if (message.mWord == "RESET") {
    aConnection.mValues.clear();
    aConnection.mPrepared.clear();
    return kDone;
  }
  if (message.mWord == "PREPARE") {
    const std::string name(TakeField(message.mRest));
    aConnection.mPrepared[name] = TakeField(message.mRest) == "WRITE";
    return kDone;
  }
  if (message.mWord == "EXECUTE") {
    const auto it =
      aConnection.mPrepared.find(std::string(TakeField(message.mRest)));
    return it == aConnection.mPrepared.end()
             ? Error("NOSUCHSTMT")
             : RunStatement(aConnection, aId, it->second, message.mRest);
  }
  if (message.mWord == "READ" || message.mWord == "WRITE") {
    return RunStatement(
      aConnection, aId, message.mWord == "WRITE", message.mRest);
  }
  return Control(message.mWord, message.mRest);
}

std::string
GroupStandin::Server::FailLost(Connection& aConnection, std::string_view aWord)
{
  const bool ends = aWord == "COMMIT" || aWord == "ROLLBACK";
  aConnection.mState = ends ? 'I' : 'E';
  aConnection.mIsLost = !ends;
  return aWord == "ROLLBACK" ? kDone : Error("READONLY");
}

std::string
GroupStandin::Server::RunStatement(Connection& aConnection,
                                   const std::string& aId,
                                   bool aWrites,
                                   std::string_view aArguments)
{
  const std::string item(TakeField(aArguments));
  // An item "x@v" is only to be touched by sessions whose value "who" is v.
  const std::size_t at = item.find('@');
  if (at != std::string::npos &&
      aConnection.mValues["who"] != item.substr(at + 1)) {
    mGroup.mViolations.push_back(item);
  }
  if (!aWrites) {
    return "ROW " + mData[item] + "\r\nCOMPLETE sig-" + aId + "\r\n";
  }
  if (!mPrimary) {
    return Error("READONLY");
  }
  aConnection.mWrites.emplace_back(item, std::string(aArguments));
  if (aConnection.mState == 'T') {
    return "COMPLETE sig-" + aId + "\r\n";
  }
  return End(aConnection, true, aId);
}

std::string
GroupStandin::Server::End(Connection& aConnection,
                          bool aCommit,
                          const std::string& aId)
{
  const auto writes = std::exchange(aConnection.mWrites, {});
  aConnection.mState = 'I';
  if (!aCommit || writes.empty()) {
    return aCommit ? "COMPLETE sig-" + aId + "\r\n" : kDone;
  }
  if (!mPrimary) {
    return Error("READONLY");
  }
  ++mIndex;
  for (const auto& [item, data] : writes) {
    mData[item] = data;
    ++mGroup.mEffects[item];
  }
  if (!mGroup.Replicate(*this)) {
    aConnection.mPending = "waits";
  }
  return "COMPLETE sig-" + aId + "\r\n";
}

std::string
GroupStandin::Server::Control(std::string_view aWord, std::string_view aRest)
{
  if (aWord == "PAUSE" && !mPrimary) {
    mPauseTerm = std::stoull(std::string(aRest));
  } else if (aWord == "RESUME") {
    mPauseTerm = 0;
    mGroup.Advance();
  } else if (aWord == "STEPDOWN") {
    if (std::stoull(std::string(aRest)) > mTerm) {
      mPrimary = false;
      mDeposedAt.reset();
      for (const auto& connection : mConnections) {
        connection->mIsLost = !connection->mWrites.empty();
        connection->mWrites.clear();
      }
    }
  } else if (aWord != "STATUS") {
    return Error("MALFORMED");
  }
  return std::string("ROW ") + (mPrimary ? "primary " : "replica ") +
         std::to_string(mTerm) + " " + PositionText() + " " +
         std::to_string(mPauseTerm) + " 0 0 " + std::to_string(CountOpen()) +
         "\r\n" + kDone;
}

std::size_t
GroupStandin::Server::CountOpen() const
{
  return static_cast<std::size_t>(std::count_if(
    mConnections.begin(), mConnections.end(), [](const auto& aConnection) {
      return !aConnection->mLines->Socket().IsClosed();
    }));
}

std::string
GroupStandin::Server::PositionText() const
{
  return std::to_string(mTerm) + "." + std::to_string(mIndex);
}

}
