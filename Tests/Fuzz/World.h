#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Fuzz/FakeServer.h"
#include "Fuzz/Oracle.h"
#include "Messages/Effect.h"
#include "Messages/Event.h"
#include "Reducer/State.h"

namespace camphorstep::fuzz {

inline constexpr std::size_t kHostCount = 3;
inline constexpr std::size_t kServerCount = 3;
inline constexpr std::size_t kCallerCount = 4;

/// A core and the machine under it.
struct SimulatedHost
{
  State mState;
  bool mUp = true;
  /// What the host's own clock is ahead of the world's.
  Duration mClockOffset{ 0 };
  Instant mPausedUntil{};
  /// The pause that catches the host between its next step and the effects.
  Duration mPauseAfterStep{ 0 };
  /// The pause that catches the host, and the primary's machine, when the
  /// host has decided to acknowledge a write and has not sent the answer.
  Duration mPauseAtAcknowledgement{ 0 };
  std::deque<EventBody> mBacklog;
  std::deque<Effect> mStalled;
  /// Counts restarts, so that nothing reaches a later process by mistake.
  int mLife = 0;
};

/// The link on which one host sends to another.
struct Link
{
  bool mUp = true;
  bool mSilent = false;
  int mEpoch = 0;
  Instant mLastArrival{};
};

/// A connection from a host to a server.
struct Connection
{
  std::size_t mHost = 0;
  int mLife = 0;
  ConnectionId mId;
  std::size_t mServer = 0;
  bool mSilent = false;
  Instant mLastArrival{};
};

/// A caller: one call at a time, a session, perhaps a transaction.
struct SimulatedCaller
{
  CallId mCall;
  std::string mToken;
  std::string mHandle;
  std::uint64_t mTransaction = 0;
  std::size_t mHost = 0;
  /// Keys that the session's acknowledged writes have put, and those that
  /// the current call and the open transaction would add.
  std::vector<std::string> mWritten;
  std::vector<std::string> mCallKeys;
  std::vector<std::string> mTransactionKeys;
  /// The key of a keyed write whose outcome is not known, to be repeated.
  std::string mUnsettled;
};

/// Three hosts, three servers of one database and the networks between
/// them, in virtual time. Everything is determined by the seed and by the
/// calls made on the world.
class World
{
public:
  explicit World(std::uint64_t aSeed);

  /// Lets time pass.
  void Advance(Duration aDuration);

  /// Hands a call of a caller to a host and tells the oracle.
  void Call(std::size_t aHost, std::size_t aCaller, CallRecord aCall);

  void Deliver(std::size_t aHost, EventBody aEvent);
  void Pause(std::size_t aHost, Duration aDuration, bool aAfterStep);
  /// Stops a host and the primary for some time when the host is about to
  /// acknowledge a write.
  void FreezeAtAcknowledgement(std::size_t aHost, Duration aDuration);
  void Crash(std::size_t aHost);
  void Restart(std::size_t aHost);
  /// Breaks the link between two hosts; a silent one tells nobody.
  void BreakLink(std::size_t aFrom, std::size_t aTo, bool aSilently);
  void MendLink(std::size_t aFrom, std::size_t aTo);
  /// Breaks the open connections to a server.
  void BreakConnections(std::size_t aServer, bool aSilently);
  void KillServer(std::size_t aServer);
  /// Cuts a data centre, its host and its server, off from the others.
  void Isolate(std::size_t aCentre, Duration aDuration);
  /// Says of a server for some time that it is leaving.
  void AnnounceLeaving(std::size_t aServer, Duration aDuration);
  /// Ends the faults of a server, now or after a time.
  void Revive(std::size_t aServer);
  void ReviveLater(std::size_t aServer, Duration aDelay);
  /// Tells a host of a new configuration, or of an old one.
  void TellVersion(std::size_t aHost, bool aIsNew);
  /// Has the next answers of servers and dispatchers come twice.
  void DoubleAnswers(int aCount) { mDoubles = aCount; }
  /// Ends all faults and lets things settle.
  void Heal();

  std::uint64_t NextSerial() { return ++mSerial; }
  std::uint64_t Draw(std::uint64_t aSalt) const;

  std::vector<std::unique_ptr<FakeServer>> mServers;
  std::vector<SimulatedHost> mHosts;
  std::vector<SimulatedCaller> mCallers;
  Oracle mOracle;
  Instant mNow{ std::chrono::seconds(1'000) };
  std::uint64_t mVersion = 1;

private:
  using Action = std::function<void()>;

  void At(Instant aTime, Action aAction)
  {
    mAgenda.emplace(aTime, std::move(aAction));
  }
  Instant Arrival(Instant& aLast, std::uint64_t aSalt);
  void WakeHosts();
  void Replicate();
  void ServeAll();
  void StepHost(std::size_t aHost, EventBody aEvent);
  /// Starts the pause that waited for the effects of a step.
  void PauseAfterStep(std::size_t aHost, const std::vector<Effect>& aEffects);
  /// Stops the machines of all servers that lead.
  void FreezePrimaries(Duration aDuration);
  void Carry(std::size_t aHost, const Effect& aEffect);
  void CarryAnswer(std::size_t aHost, CallerAnswer aAnswer);
  /// A planned stop is complete.
  void Exit(std::size_t aHost);
  static void Receive(SimulatedCaller& aCaller, const CallerAnswer& aAnswer);
  void CarryToPeer(std::size_t aHost, const SendToPeer& aEffect);
  void OpenTo(std::size_t aHost, const OpenConnection& aEffect);
  void CloseTo(std::size_t aHost, ConnectionId aConnection);
  void SendTo(std::size_t aHost, const SendToServer& aEffect);
  void Respond(SessionId aSession, const ServerReply& aReply);
  void Disconnect(SessionId aSession);
  void StartHost(std::size_t aHost);
  void EndIsolation(std::size_t aCentre);
  bool CanReach(std::size_t aFrom, std::size_t aTo) const;
  bool ServesNothing(std::size_t aHost) const;
  std::optional<SessionId> FindSession(std::size_t aHost,
                                       ConnectionId aConnection) const;
  std::size_t HostIndex(HostId aHost) const;

  std::uint64_t mSeed;
  std::uint64_t mSerial = 0;
  int mDoubles = 0;
  std::multimap<Instant, Action> mAgenda;
  std::map<std::pair<std::size_t, std::size_t>, Link> mLinks;
  std::map<SessionId, Connection> mConnections;
  SessionId mLastSession = 0;
  Instant mLastTick{};
  /// How many isolations of each data centre have not ended.
  std::array<int, kHostCount> mIsolated{};
};

}
