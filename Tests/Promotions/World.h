#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "Gateway/Effect.h"
#include "Gateway/Event.h"
#include "Gateway/State.h"
#include "Promotions/Oracle.h"
#include "Promotions/Schedule.h"
#include "Promotions/Store.h"

namespace camphorstep::promotions {

/// How the platform is modelled.
struct Rules
{
  /// Whether an order to promote still arrives after its sender has given it up
  /// or has ended.
  bool mCallsOutliveSender = false;
  /// Whether writes of the lease look at the marks of later eras.
  bool mGuardsEra = true;
  /// The most time between a new server's first receipt and its entry. A
  /// promoter waits for kEvidenceTimeout before it reads the entries.
  Duration mMaxListingDelay{ 900'000 };
  /// Prints what happens.
  bool mIsTraced = false;
};

/// A caller that writes one row after the other.
struct Caller
{
  gateway::SessionId mSession;
  /// The write that has no answer yet; zero if there is none.
  WriteId mWrite = 0;
};

/// A core and its process.
struct Host
{
  std::string mName;
  gateway::State mState;
  bool mIsUp = false;
  /// Counts starts, so that nothing reaches a later process by mistake.
  std::uint64_t mLife = 0;
  Instant mFrozenUntil{};
  std::deque<gateway::EventBody> mBacklog;
  Instant mWakeAt{};
  std::vector<Caller> mCallers;
};

/// A write that the primary has committed and not acknowledged.
struct WaitingWrite
{
  std::size_t mIndex = 0;
  std::function<void()> mAcknowledge;
};

/// A backend server.
struct Server
{
  gateway::ServerEntry mEntry;
  bool mIsUp = true;
  /// Whether it has left for good, with its log.
  bool mIsGone = false;
  /// Counts starts, so that connections end with the process.
  std::uint64_t mLife = 1;
  bool mIsPrimary = false;
  Term mTerm = 1;
  Term mPauseTerm = 0;
  ServerLog mLog;
  std::deque<WaitingWrite> mWaiting;
  /// Since when, as a primary of an old term, it reaches the new one.
  std::optional<Instant> mReachesNewSince;
};

/// A host's process and one of its connections.
using LinkKey = std::tuple<std::size_t, std::uint64_t, std::uint64_t>;

/// A connection of a host to a server.
struct Connection
{
  std::string mServer;
  std::uint64_t mServerLife = 0;
  /// Messages of one direction arrive in order.
  Instant mLastToServer{};
  Instant mLastToHost{};
};

/// The names of two nodes, sorted.
using NodePair = std::pair<std::string, std::string>;

/// What is sent to a node is held up for at most mMax until a time.
struct HeldPath
{
  Instant mUntil{};
  Duration mMax{ 0 };
};

/// Three hosts, a group of three servers, the store and the platform in virtual
/// time. The same seed, schedule and rules always give the same run.
struct World
{
  std::mt19937_64 mRandom;
  Rules mRules;
  Instant mNow{ std::chrono::seconds(1000) };
  std::multimap<Instant, std::function<void()>> mQueue;
  Oracle mOracle;
  std::array<Host, kHostCount> mHosts;
  std::map<std::string, Server> mServers;
  Store mStore;
  bool mIsStoreDown = false;
  Instant mPromotionsRefusedUntil{};
  std::map<NodePair, Instant> mCuts;
  std::map<std::pair<std::string, std::string>, HeldPath> mHeldPaths;
  std::map<LinkKey, Connection> mConnections;
  std::uint64_t mLastSession = 0;
  WriteId mLastWrite = 0;
  std::size_t mServersStarted = 0;
};

/// Runs a schedule and returns what the oracle has seen.
Oracle RunWorld(std::uint64_t aSeed,
                const Schedule& aSchedule,
                const Rules& aRules);

// What the files of the world share.

/// Has something happen later.
void After(World& aWorld, Duration aDelay, std::function<void()> aAction);

/// Prints what happens, if the run is traced.
void Trace(const World& aWorld, const std::string& aText);

bool IsCut(const World& aWorld,
           const std::string& aOne,
           const std::string& aTwo);

void Cut(World& aWorld,
         const std::string& aOne,
         const std::string& aTwo,
         Duration aFor);

/// Draws how long a message is on its way; nothing if it is lost. A cut that
/// ends soon holds messages up, since they are sent again.
std::optional<Duration> DrawTransit(World& aWorld,
                                    const std::string& aFrom,
                                    const std::string& aTo);

/// Starts a process of a host.
void StartHost(World& aWorld, std::size_t aHost);
void CrashHost(World& aWorld, std::size_t aHost);
void FreezeHost(World& aWorld, std::size_t aHost, Duration aFor);

/// Gives an event to a host's process, if it is still the same.
void Deliver(World& aWorld,
             std::size_t aHost,
             std::uint64_t aLife,
             gateway::EventBody aEvent);

/// Starts a server with an empty log and returns its name.
std::string StartServer(World& aWorld, bool aIsPrimary);
void CrashServer(World& aWorld, const std::string& aName, Duration aFor);
/// Has a server leave, and another one join.
void ReplaceServer(World& aWorld, const std::string& aName, Duration aDrain);
/// Lists a server as it is, after a delay.
void ListServer(World& aWorld, const std::string& aName, Duration aDelay);
/// Has all primaries send their logs, now and from time to time.
void Replicate(World& aWorld);
/// Promotes a server, if it is up.
void Promote(World& aWorld, const std::string& aName);
/// The primary of the newest term; empty if there is none.
std::string PrimaryOf(const World& aWorld);

void OpenConnection(World& aWorld,
                    std::size_t aHost,
                    const gateway::OpenLink& aOpen);
void SendToServer(World& aWorld,
                  std::size_t aHost,
                  const gateway::SendOnLink& aSend);

}
