#include "Promotions/World.h"

#include <algorithm>

namespace camphorstep::promotions {

using namespace gateway;
using namespace std::chrono_literals;

namespace {

constexpr Duration kReplicationInterval = 10ms;
/// How long a primary of an old term goes on after it reaches the new one.
constexpr Duration kOldPrimaryTimeout = 1s;
/// How long a server that is down stays listed.
constexpr Duration kListingTimeout = 3s;
/// A write that was longer on its way was held up.
constexpr Duration kHeldUpTransit = 100ms;
/// A sender that was frozen within this time does not count.
constexpr Duration kThawTime = 300ms;

std::uint64_t
BirthTime(const World& aWorld)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aWorld.mNow.time_since_epoch())
      .count());
}

Position
ReceivedBy(const Server& aServer)
{
  return { aServer.mLog.empty() ? 1 : aServer.mLog.back().mTerm,
           aServer.mLog.size() };
}

BackendReply
StatusOf(const Server& aServer)
{
  BackendReply reply;
  BackendStatus status;
  status.mPrimary = aServer.mIsPrimary;
  status.mTerm = aServer.mTerm;
  status.mReceived = ReceivedBy(aServer);
  status.mPauseTerm = aServer.mPauseTerm;
  status.mConnections = 5;
  reply.mStatus = status;
  reply.mPosition = status.mReceived;
  return reply;
}

/// Ends the connections that wait for a server that does not lead any more.
void
DropWaiting(Server& aServer)
{
  aServer.mWaiting.clear();
}

void
StepDown(World& aWorld, Server& aServer)
{
  Trace(aWorld, aServer.mEntry.mName + " steps down");
  aServer.mIsPrimary = false;
  aServer.mReachesNewSince.reset();
  DropWaiting(aServer);
  ListServer(
    aWorld, aServer.mEntry.mName, DrawMilliseconds(aWorld.mRandom, 20, 300));
}

/// A replica has received the primary's log up to an index.
void
AcknowledgeReplica(World& aWorld,
                   const std::string& aPrimary,
                   Term aTerm,
                   std::size_t aIndex)
{
  Server& primary = aWorld.mServers.at(aPrimary);
  if (!primary.mIsUp || !primary.mIsPrimary || primary.mTerm != aTerm) {
    return;
  }
  while (!primary.mWaiting.empty() &&
         primary.mWaiting.front().mIndex <= aIndex) {
    const WaitingWrite write = std::move(primary.mWaiting.front());
    primary.mWaiting.pop_front();
    write.mAcknowledge();
  }
}

/// Whether a replica's log goes on where it ends in the primary's.
bool
IsPrefix(const ServerLog& aLog, const ServerLog& aOther, std::size_t aLength)
{
  return aLog.size() <= aLength &&
         (aLog.empty() || aLog.back() == aOther[aLog.size() - 1]);
}

/// A replica, or a primary of an old term, hears of a primary's log.
void
ReceiveLog(World& aWorld,
           const std::string& aName,
           const std::string& aPrimary,
           Term aTerm,
           std::size_t aLength)
{
  Server& server = aWorld.mServers.at(aName);
  const Server& primary = aWorld.mServers.at(aPrimary);
  if (!server.mIsUp || server.mTerm > aTerm || server.mPauseTerm != 0 ||
      primary.mTerm != aTerm || primary.mLog.size() < aLength) {
    return;
  }
  if (server.mIsPrimary) {
    if (server.mTerm < aTerm && !server.mReachesNewSince) {
      server.mReachesNewSince = aWorld.mNow;
    }
    return;
  }
  if (server.mTerm == aTerm && server.mLog.size() >= aLength) {
    aLength = server.mLog.size();
  } else if (IsPrefix(server.mLog, primary.mLog, aLength)) {
    server.mLog.insert(
      server.mLog.end(),
      primary.mLog.begin() + static_cast<std::ptrdiff_t>(server.mLog.size()),
      primary.mLog.begin() + static_cast<std::ptrdiff_t>(aLength));
  } else {
    Trace(aWorld, aName + " is rolled back");
    server.mLog.assign(primary.mLog.begin(),
                       primary.mLog.begin() +
                         static_cast<std::ptrdiff_t>(aLength));
  }
  server.mTerm = aTerm;
  if (const auto transit = DrawTransit(aWorld, aName, aPrimary)) {
    After(aWorld, *transit, [&aWorld, aPrimary, aTerm, aLength] {
      AcknowledgeReplica(aWorld, aPrimary, aTerm, aLength);
    });
  }
}

/// Sends a server's answer on a connection.
void
SendToHost(World& aWorld, const LinkKey& aKey, BackendReply aReply)
{
  const auto found = aWorld.mConnections.find(aKey);
  if (found == aWorld.mConnections.end()) {
    return;
  }
  Connection& connection = found->second;
  const auto [host, life, link] = aKey;
  const auto transit =
    DrawTransit(aWorld, connection.mServer, aWorld.mHosts.at(host).mName);
  if (!transit) {
    return;
  }
  const Instant arrival =
    std::max(aWorld.mNow + *transit, connection.mLastToHost);
  connection.mLastToHost = arrival;
  After(
    aWorld, arrival - aWorld.mNow, [&aWorld, aKey, reply = std::move(aReply)] {
      Deliver(aWorld,
              std::get<0>(aKey),
              std::get<1>(aKey),
              LinkReplied{ LinkId{ std::get<2>(aKey) }, reply });
    });
}

void
CommitWrite(World& aWorld,
            const LinkKey& aKey,
            Server& aServer,
            const BackendRequest& aRequest,
            Instant aSentAt)
{
  if (!aServer.mIsPrimary) {
    BackendReply refusal;
    refusal.mCode = ResultCode::PrimaryChanged;
    refusal.mPosition = ReceivedBy(aServer);
    SendToHost(aWorld, aKey, refusal);
    return;
  }
  const LogEntry entry{ aServer.mTerm, std::stoull(aRequest.mText) };
  aServer.mLog.push_back(entry);
  const Host& host = aWorld.mHosts.at(std::get<0>(aKey));
  NoteCommit(aWorld.mOracle,
             entry,
             aWorld.mNow - aSentAt > kHeldUpTransit ||
               host.mFrozenUntil > aSentAt - kThawTime);
  BackendReply reply;
  reply.mSignature = "signature";
  reply.mPosition = ReceivedBy(aServer);
  aServer.mWaiting.push_back({ aServer.mLog.size(), [&aWorld, aKey, reply] {
                                SendToHost(aWorld, aKey, reply);
                              } });
}

void
HandleRequest(World& aWorld,
              const LinkKey& aKey,
              const BackendRequest& aRequest,
              Instant aSentAt)
{
  const Connection& connection = aWorld.mConnections.at(aKey);
  Server& server = aWorld.mServers.at(connection.mServer);
  if (!server.mIsUp || server.mLife != connection.mServerLife) {
    return;
  }
  switch (aRequest.mVerb) {
    case BackendVerb::Run:
      CommitWrite(aWorld, aKey, server, aRequest, aSentAt);
      return;
    case BackendVerb::Pause:
      if (!server.mIsPrimary && aRequest.mTerm > server.mTerm) {
        server.mPauseTerm = aRequest.mTerm;
      }
      break;
    case BackendVerb::Resume:
      server.mPauseTerm = 0;
      break;
    case BackendVerb::StepDown:
      if (server.mIsPrimary && server.mTerm < aRequest.mTerm) {
        StepDown(aWorld, server);
      }
      break;
    case BackendVerb::Status:
      break;
    default:
      SendToHost(aWorld, aKey, BackendReply{});
      return;
  }
  SendToHost(aWorld, aKey, StatusOf(server));
}

/// Ends all connections to a server.
void
CloseConnections(World& aWorld, const std::string& aServer)
{
  for (const auto& [key, connection] : aWorld.mConnections) {
    const auto [host, life, link] = key;
    const auto transit =
      DrawTransit(aWorld, aServer, aWorld.mHosts.at(host).mName);
    if (connection.mServer == aServer && transit) {
      After(aWorld, *transit, [&aWorld, host = host, life = life, link = link] {
        Deliver(aWorld,
                host,
                life,
                LinkClosed{ LinkId{ link }, ResultCode::Ok, true });
      });
    }
  }
}

void
ReturnServer(World& aWorld, const std::string& aName)
{
  Server& server = aWorld.mServers.at(aName);
  if (server.mIsGone || server.mIsUp) {
    return;
  }
  Trace(aWorld, aName + " is back");
  server.mIsUp = true;
  ++server.mLife;
  server.mPauseTerm = 0;
  server.mIsPrimary = server.mIsPrimary && server.mTerm == aWorld.mOracle.mTerm;
  server.mEntry.mStartedAt = BirthTime(aWorld);
  ListServer(aWorld, aName, DrawMilliseconds(aWorld.mRandom, 20, 1'500));
}

}

void
ListServer(World& aWorld, const std::string& aName, Duration aDelay)
{
  After(aWorld, aDelay, [&aWorld, aName] {
    Server& server = aWorld.mServers.at(aName);
    if (aWorld.mIsStoreDown || IsCut(aWorld, aName, "store")) {
      ListServer(aWorld, aName, 300ms);
    } else if (server.mIsUp) {
      server.mEntry.mPrimary = server.mIsPrimary;
      PutServer(aWorld.mStore, server.mEntry);
    } else {
      RemoveServer(aWorld.mStore, aName);
    }
  });
}

std::string
StartServer(World& aWorld, bool aIsPrimary)
{
  const std::size_t number = ++aWorld.mServersStarted;
  Server server;
  server.mEntry.mName = "s" + std::to_string(number);
  server.mEntry.mGroup = "group";
  server.mEntry.mAddress = { "10.0.1." + std::to_string(number), 5000 };
  server.mEntry.mDataCentre =
    std::string(1, static_cast<char>('a' + (number - 1) % kServerCount));
  server.mEntry.mStartedAt = BirthTime(aWorld);
  server.mIsPrimary = aIsPrimary;
  std::string name = server.mEntry.mName;
  aWorld.mServers[name] = std::move(server);
  return name;
}

void
CrashServer(World& aWorld, const std::string& aName, Duration aFor)
{
  Server& server = aWorld.mServers.at(aName);
  if (!server.mIsUp) {
    return;
  }
  CloseConnections(aWorld, aName);
  server.mIsUp = false;
  server.mReachesNewSince.reset();
  DropWaiting(server);
  if (aFor > kListingTimeout) {
    ListServer(aWorld, aName, kListingTimeout);
  }
  After(aWorld, aFor, [&aWorld, aName] { ReturnServer(aWorld, aName); });
}

void
ReplaceServer(World& aWorld, const std::string& aName, Duration aDrain)
{
  After(aWorld, DrawMilliseconds(aWorld.mRandom, 0, 1'500), [&aWorld] {
    const std::string joined = StartServer(aWorld, false);
    Trace(aWorld, joined + " joins");
    ListServer(
      aWorld,
      joined,
      DrawMilliseconds(aWorld.mRandom,
                       50,
                       static_cast<int>(aWorld.mRules.mMaxListingDelay / 1ms)));
  });
  aWorld.mServers.at(aName).mEntry.mLeaving = true;
  ListServer(aWorld, aName, 20ms);
  After(aWorld, aDrain, [&aWorld, aName] {
    Trace(aWorld, aName + " is gone");
    CrashServer(aWorld, aName, 0ms);
    Server& server = aWorld.mServers.at(aName);
    server.mIsUp = false;
    server.mIsGone = true;
    ListServer(aWorld, aName, DrawMilliseconds(aWorld.mRandom, 20, 3'000));
  });
}

void
Replicate(World& aWorld)
{
  for (auto& [name, primary] : aWorld.mServers) {
    if (!primary.mIsUp || !primary.mIsPrimary) {
      continue;
    }
    if (primary.mReachesNewSince &&
        aWorld.mNow - *primary.mReachesNewSince > kOldPrimaryTimeout) {
      StepDown(aWorld, primary);
      continue;
    }
    for (const auto& [other, server] : aWorld.mServers) {
      if (other == name || !server.mIsUp || IsCut(aWorld, name, other)) {
        continue;
      }
      After(aWorld,
            DrawMilliseconds(aWorld.mRandom, 2, 8),
            [&aWorld,
             other = other,
             name = name,
             term = primary.mTerm,
             length = primary.mLog.size()] {
              ReceiveLog(aWorld, other, name, term, length);
            });
    }
  }
  After(aWorld, kReplicationInterval, [&aWorld] { Replicate(aWorld); });
}

void
Promote(World& aWorld, const std::string& aName)
{
  Server& server = aWorld.mServers.at(aName);
  if (!server.mIsUp) {
    return;
  }
  const Term term = aWorld.mOracle.mTerm + 1;
  Trace(aWorld,
        aName + " leads term " + std::to_string(term) + " from index " +
          std::to_string(server.mLog.size()));
  NotePromotion(aWorld.mOracle, aName, term, server.mLog);
  server.mIsPrimary = true;
  server.mTerm = term;
  server.mReachesNewSince.reset();
  DropWaiting(server);
  for (auto& [name, other] : aWorld.mServers) {
    other.mPauseTerm = 0;
  }
  ListServer(aWorld, aName, DrawMilliseconds(aWorld.mRandom, 20, 300));
}

std::string
PrimaryOf(const World& aWorld)
{
  for (const auto& [name, server] : aWorld.mServers) {
    if (server.mIsPrimary && server.mTerm == aWorld.mOracle.mTerm &&
        !server.mIsGone) {
      return name;
    }
  }
  return "";
}

void
OpenConnection(World& aWorld, std::size_t aHost, const OpenLink& aOpen)
{
  const Host& host = aWorld.mHosts.at(aHost);
  const auto server = aWorld.mServers.find(aOpen.mServer);
  if (server == aWorld.mServers.end() ||
      IsCut(aWorld, host.mName, aOpen.mServer)) {
    return;
  }
  const auto transit = DrawTransit(aWorld, host.mName, aOpen.mServer);
  if (!transit) {
    return;
  }
  const LinkKey key{ aHost, host.mLife, aOpen.mLink.mValue };
  EventBody answer = LinkClosed{ aOpen.mLink, ResultCode::Ok, true };
  if (server->second.mIsUp) {
    aWorld.mConnections[key] = { aOpen.mServer, server->second.mLife };
    answer = LinkReady{ aOpen.mLink, std::nullopt };
  }
  After(aWorld, 2 * *transit, [&aWorld, key, answer] {
    Deliver(aWorld, std::get<0>(key), std::get<1>(key), answer);
  });
}

void
SendToServer(World& aWorld, std::size_t aHost, const SendOnLink& aSend)
{
  const Host& host = aWorld.mHosts.at(aHost);
  const LinkKey key{ aHost, host.mLife, aSend.mLink.mValue };
  const auto connection = aWorld.mConnections.find(key);
  if (connection == aWorld.mConnections.end()) {
    return;
  }
  const auto transit =
    DrawTransit(aWorld, host.mName, connection->second.mServer);
  if (!transit) {
    return;
  }
  const Instant arrival =
    std::max(aWorld.mNow + *transit, connection->second.mLastToServer);
  connection->second.mLastToServer = arrival;
  After(aWorld,
        arrival - aWorld.mNow,
        [&aWorld, key, request = aSend.mRequest, sentAt = aWorld.mNow] {
          HandleRequest(aWorld, key, request, sentAt);
        });
}

}
