#include "Fuzz/World.h"

#include <algorithm>

#include "Common/Hash.h"
#include "Fuzz/Failure.h"
#include "Reducer/Step.h"

namespace camphorstep::fuzz {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(5);
constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr Duration kMinLatency = std::chrono::milliseconds(1);
constexpr Duration kReconnectDelay = std::chrono::milliseconds(100);
/// One message in so many takes much longer.
constexpr std::uint64_t kSlowOneIn = 32;

std::string
HostName(std::size_t aHost)
{
  return "host-" + std::to_string(aHost + 1);
}

std::string
ServerName(std::size_t aServer)
{
  return "records-" + std::to_string(aServer + 1);
}

/// Hosts and servers stand in two data centres of one region and in one of
/// another.
Place
PlaceOf(std::size_t aIndex)
{
  constexpr std::size_t kFar = 2;
  return Place{ IdOf<DataCentreId>("dc-" + std::to_string(aIndex)),
                IdOf<RegionId>(aIndex == kFar ? "norte" : "sur") };
}

Topology
MakeTopology()
{
  Topology topology;
  for (std::size_t n = 0; n < kHostCount; ++n) {
    const HostId id = IdOf<HostId>(HostName(n));
    topology.mHosts[id] = Host{ id, HostName(n), PlaceOf(n), {} };
  }
  Database database{ IdOf<DatabaseId>("records"), "records", {} };
  for (std::size_t n = 0; n < kServerCount; ++n) {
    Server server;
    server.mId = IdOf<ServerId>(ServerName(n));
    server.mName = ServerName(n);
    server.mDatabase = database.mId;
    server.mPlace = PlaceOf(n);
    database.mServers.push_back(server.mId);
    topology.mServers[server.mId] = server;
  }
  topology.mDatabases[database.mId] = database;
  return topology;
}

Profile
MakeProfile(const std::string& aName,
            Rank aRank,
            Freshness aFreshness,
            Durability aDurability)
{
  Profile profile;
  profile.mName = aName;
  profile.mRank = aRank;
  profile.mFreshness = aFreshness;
  profile.mDurability = aDurability;
  profile.mMaxAge = std::chrono::milliseconds(200);
  profile.mDeadline = std::chrono::seconds(2);
  profile.mTransactionIdleTimeout = std::chrono::milliseconds(500);
  return profile;
}

/// The service of the same name picks each profile.
Configuration
MakeConfiguration(std::uint64_t aVersion)
{
  Configuration configuration;
  configuration.mVersion = aVersion;
  for (const Profile& profile : {
         MakeProfile("technicians",
                     Rank::Urgent,
                     Freshness::ReadYourWrites,
                     Durability::Replicated),
         MakeProfile(
           "desk", Rank::Normal, Freshness::Primary, Durability::Replicated),
         MakeProfile("borrowers",
                     Rank::Background,
                     Freshness::MaxAge,
                     Durability::Primary),
       }) {
    configuration.mProfiles.emplace(profile.mName, profile);
    configuration.mServices.emplace(profile.mName, profile.mName);
  }
  return configuration;
}

}

World::World(std::uint64_t aSeed)
  : mOracle({})
  , mSeed(aSeed)
{
  std::vector<ServerId> voters;
  for (std::size_t n = 0; n < kServerCount; ++n) {
    voters.push_back(IdOf<ServerId>(ServerName(n)));
  }
  Oracle::Servers servers;
  for (const ServerId voter : voters) {
    mServers.push_back(std::make_unique<FakeServer>(voter, voters));
    servers.push_back(mServers.back().get());
  }
  mOracle = Oracle(servers);
  mCallers.resize(kCallerCount);
  mHosts.resize(kHostCount);
  for (std::size_t n = 0; n < kHostCount; ++n) {
    StartHost(n);
  }
}

std::uint64_t
World::Draw(std::uint64_t aSalt) const
{
  const auto now = static_cast<std::uint64_t>(mNow.time_since_epoch().count());
  return HashPair(mSeed, HashPair(now, aSalt));
}

Instant
World::Arrival(Instant& aLast, std::uint64_t aSalt)
{
  const std::uint64_t draw = Draw(aSalt);
  constexpr std::uint64_t kSpreadMicros = 4'000;
  Duration latency =
    kMinLatency + Duration{ static_cast<Duration::rep>(draw % kSpreadMicros) };
  if (draw / kSpreadMicros % kSlowOneIn == 0) {
    latency *= 40;
  }
  aLast = std::max(aLast, mNow + latency);
  return aLast;
}

void
World::StartHost(std::size_t aHost)
{
  SimulatedHost& host = mHosts[aHost];
  const int life = host.mLife + 1;
  host = SimulatedHost{};
  host.mLife = life;
  host.mClockOffset = std::chrono::seconds(100 * (aHost + 1));
  State& state = host.mState;
  state.mSelf = IdOf<HostId>(HostName(aHost));
  state.mPlace = PlaceOf(aHost);
  state.mIncarnation = HashPair(aHost, static_cast<std::uint64_t>(life));
  state.mSessionKey = DeriveMacKey("a secret for tests", "session");
  state.mTopology = MakeTopology();
  Deliver(aHost, ConfigurationLoaded{ MakeConfiguration(mVersion) });
  for (std::size_t peer = 0; peer < mHosts.size(); ++peer) {
    if (peer != aHost && mHosts[peer].mUp) {
      MendLink(aHost, peer);
      MendLink(peer, aHost);
    }
  }
}

void
World::Advance(Duration aDuration)
{
  for (const Instant end = mNow + aDuration; mNow < end;) {
    mNow += kStep;
    while (!mAgenda.empty() && mAgenda.begin()->first <= mNow) {
      const Action action = std::move(mAgenda.begin()->second);
      mAgenda.erase(mAgenda.begin());
      action();
    }
    Replicate();
    ServeAll();
    WakeHosts();
  }
  for (std::size_t n = 0; n < kHostCount; ++n) {
    if (mNow >= mHosts[n].mPausedUntil) {
      mOracle.CheckOverdue(n, mHosts[n].mPausedUntil, mNow);
    }
  }
  mOracle.CheckLogs();
}

void
World::ServeAll()
{
  for (const auto& server : mServers) {
    server->Work(mNow,
                 [&](SessionId aSession,
                     const ServerRequest& aRequest,
                     const ServerReply& aReply) {
                   mOracle.OnServed(*server, aRequest, aReply);
                   Respond(aSession, aReply);
                 });
  }
}

void
World::Replicate()
{
  const auto works = [](const FakeServer& aServer) {
    return !aServer.mDown && !aServer.mPaused && !aServer.mCutOff;
  };
  for (std::size_t n = 0; n < kServerCount; ++n) {
    const ServerId leader = mServers[n]->mState.Leader();
    for (std::size_t from = 0; from < kServerCount; ++from) {
      if (leader == IdOf<ServerId>(ServerName(from)) && works(*mServers[n]) &&
          works(*mServers[from]) && CanReach(n, from)) {
        mServers[n]->ReplicateFrom(*mServers[from]);
      }
    }
  }
}

void
World::WakeHosts()
{
  const bool tick = mNow - mLastTick >= kTickInterval;
  if (tick) {
    mLastTick = mNow;
  }
  for (std::size_t n = 0; n < kHostCount; ++n) {
    SimulatedHost& host = mHosts[n];
    if (!host.mUp || mNow < host.mPausedUntil) {
      continue;
    }
    const std::deque<Effect> stalled = std::exchange(host.mStalled, {});
    for (const Effect& effect : stalled) {
      Carry(n, effect);
    }
    while (!host.mBacklog.empty() && host.mUp && mNow >= host.mPausedUntil) {
      EventBody event = std::move(host.mBacklog.front());
      host.mBacklog.pop_front();
      StepHost(n, std::move(event));
    }
    if (tick) {
      Deliver(n, Tick{});
    }
  }
}

void
World::Deliver(std::size_t aHost, EventBody aEvent)
{
  SimulatedHost& host = mHosts[aHost];
  if (!host.mUp) {
    return;
  }
  if (mNow < host.mPausedUntil || !host.mBacklog.empty()) {
    host.mBacklog.push_back(std::move(aEvent));
    return;
  }
  StepHost(aHost, std::move(aEvent));
}

void
World::StepHost(std::size_t aHost, EventBody aEvent)
{
  SimulatedHost& host = mHosts[aHost];
  const std::vector<Effect> effects =
    Step(host.mState, Event{ mNow + host.mClockOffset, std::move(aEvent) });
  mOracle.OnVersion(aHost, host.mState.mConfiguration.mCurrent.mVersion);
  PauseAfterStep(aHost, effects);
  for (const Effect& effect : effects) {
    if (mNow < host.mPausedUntil) {
      host.mStalled.push_back(effect);
    } else if (host.mUp) {
      Carry(aHost, effect);
    }
  }
}

void
World::PauseAfterStep(std::size_t aHost, const std::vector<Effect>& aEffects)
{
  SimulatedHost& host = mHosts[aHost];
  if (host.mPauseAfterStep > Duration{ 0 } && !aEffects.empty()) {
    host.mPausedUntil = mNow + host.mPauseAfterStep;
    host.mPauseAfterStep = Duration{ 0 };
  }
  const bool acknowledges = std::any_of(
    aEffects.begin(), aEffects.end(), [this](const Effect& aEffect) {
      const auto* const answer = std::get_if<AnswerCaller>(&aEffect);
      return answer != nullptr && mOracle.AcknowledgesWrite(answer->mAnswer);
    });
  if (host.mPauseAtAcknowledgement > Duration{ 0 } && acknowledges) {
    host.mPausedUntil = mNow + host.mPauseAtAcknowledgement;
    FreezePrimaries(host.mPauseAtAcknowledgement);
    host.mPauseAtAcknowledgement = Duration{ 0 };
  }
}

void
World::FreezePrimaries(Duration aDuration)
{
  for (std::size_t n = 0; n < kServerCount; ++n) {
    if (mServers[n]->IsPrimary()) {
      mServers[n]->mPaused = true;
      ReviveLater(n, aDuration);
    }
  }
}

void
World::Carry(std::size_t aHost, const Effect& aEffect)
{
  if (const auto* const answer = std::get_if<AnswerCaller>(&aEffect)) {
    CarryAnswer(aHost, answer->mAnswer);
  } else if (const auto* const message = std::get_if<SendToPeer>(&aEffect)) {
    CarryToPeer(aHost, *message);
  } else if (const auto* const open = std::get_if<OpenConnection>(&aEffect)) {
    OpenTo(aHost, *open);
  } else if (const auto* const close = std::get_if<CloseConnection>(&aEffect)) {
    CloseTo(aHost, close->mConnection);
  } else if (const auto* const sent = std::get_if<SendToServer>(&aEffect)) {
    SendTo(aHost, *sent);
  } else if (std::holds_alternative<StopComplete>(aEffect)) {
    Exit(aHost);
  }
}

void
World::Exit(std::size_t aHost)
{
  // The shell refuses what its listener took and the core has not seen.
  for (const EventBody& event : mHosts[aHost].mBacklog) {
    if (const auto* const request = std::get_if<CallerRequest>(&event)) {
      CallerAnswer refusal;
      refusal.mCall = request->mCall;
      refusal.mCode = ResultCode::Stopping;
      refusal.mOutcome = Outcome::NotRun;
      CarryAnswer(aHost, refusal);
    }
  }
  mOracle.OnStopComplete(aHost, ServesNothing(aHost));
  Crash(aHost);
}

void
World::Call(std::size_t aHost, std::size_t aCaller, CallRecord aCall)
{
  const CallId id{ NextSerial() };
  aCall.mRequest.mCall = id;
  aCall.mHost = aHost;
  aCall.mCaller = aCaller;
  aCall.mSentAt = mNow;
  mCallers[aCaller].mCall = id;
  mCallers[aCaller].mHost = aHost;
  mCallers[aCaller].mCallKeys = aCall.mPutKeys;
  mOracle.OnCall(aCall);
  Deliver(aHost, aCall.mRequest);
}

void
World::CarryAnswer(std::size_t aHost, CallerAnswer aAnswer)
{
  // As the shell does it, right before the bytes go out.
  if (mNow + mHosts[aHost].mClockOffset >= aAnswer.mValidUntil) {
    CallerAnswer expired;
    expired.mCall = aAnswer.mCall;
    expired.mCode = ResultCode::LeaseExpired;
    expired.mOutcome = Outcome::Unknown;
    aAnswer = expired;
  }
  mOracle.OnAnswer(aAnswer, mNow);
  for (SimulatedCaller& caller : mCallers) {
    if (caller.mCall != aAnswer.mCall) {
      continue;
    }
    Receive(caller, aAnswer);
  }
}

void
World::Receive(SimulatedCaller& aCaller, const CallerAnswer& aAnswer)
{
  aCaller.mCall = CallId{};
  if (!aAnswer.mSessionToken.empty()) {
    aCaller.mToken = aAnswer.mSessionToken;
  }
  if (aAnswer.mOutcome == Outcome::Done) {
    auto& keys = aCaller.mTransaction != 0 && !aAnswer.mTransaction.empty()
                   ? aCaller.mTransactionKeys
                   : aCaller.mWritten;
    keys.insert(keys.end(), aCaller.mCallKeys.begin(), aCaller.mCallKeys.end());
    if (std::find(keys.begin(), keys.end(), aCaller.mUnsettled) != keys.end()) {
      aCaller.mUnsettled.clear();
    }
  }
  aCaller.mCallKeys.clear();
  aCaller.mHandle = aAnswer.mTransaction;
  if (aCaller.mHandle.empty()) {
    aCaller.mTransaction = 0;
    aCaller.mTransactionKeys.clear();
  }
}

std::size_t
World::HostIndex(HostId aHost) const
{
  for (std::size_t n = 0; n < mHosts.size(); ++n) {
    if (IdOf<HostId>(HostName(n)) == aHost) {
      return n;
    }
  }
  throw OracleFailure("the world has no such host");
}

void
World::CarryToPeer(std::size_t aHost, const SendToPeer& aEffect)
{
  const std::size_t to = HostIndex(aEffect.mHost);
  Link& link = mLinks[{ aHost, to }];
  link.mSilent = link.mSilent || !CanReach(aHost, to);
  if (!link.mUp || link.mSilent) {
    return;
  }
  const bool twice =
    std::holds_alternative<ForwardAnswer>(aEffect.mMessage) && mDoubles > 0;
  mDoubles -= twice ? 1 : 0;
  for (int n = 0; n < (twice ? 2 : 1); ++n) {
    const Instant arrival = Arrival(link.mLastArrival, aHost * kHostCount + to);
    At(arrival,
       [this, aHost, to, epoch = link.mEpoch, message = aEffect.mMessage] {
         if (mLinks[{ aHost, to }].mEpoch == epoch) {
           Deliver(
             to, PeerMessageReceived{ IdOf<HostId>(HostName(aHost)), message });
         }
       });
  }
}

void
World::BreakLink(std::size_t aFrom, std::size_t aTo, bool aSilently)
{
  Link& link = mLinks[{ aFrom, aTo }];
  if (aSilently) {
    link.mSilent = true;
    return;
  }
  if (!link.mUp) {
    return;
  }
  link.mUp = false;
  // What was on its way may or may not have arrived.
  if (Draw(aFrom) % 2 == 0) {
    ++link.mEpoch;
  }
  Deliver(aFrom, PeerDisconnected{ IdOf<HostId>(HostName(aTo)) });
  At(mNow + kReconnectDelay, [this, aFrom, aTo] { MendLink(aFrom, aTo); });
}

void
World::MendLink(std::size_t aFrom, std::size_t aTo)
{
  Link& link = mLinks[{ aFrom, aTo }];
  if (link.mSilent) {
    link.mSilent = false;
    link.mUp = false;
    ++link.mEpoch;
    Deliver(aFrom, PeerDisconnected{ IdOf<HostId>(HostName(aTo)) });
  }
  if (mHosts[aFrom].mUp && mHosts[aTo].mUp && CanReach(aFrom, aTo)) {
    link.mUp = true;
    Deliver(aFrom, PeerConnected{ IdOf<HostId>(HostName(aTo)) });
  }
}

bool
World::CanReach(std::size_t aFrom, std::size_t aTo) const
{
  return aFrom == aTo || (mIsolated.at(aFrom) == 0 && mIsolated.at(aTo) == 0);
}

void
World::Isolate(std::size_t aCentre, Duration aDuration)
{
  ++mIsolated.at(aCentre);
  for (auto& [ends, link] : mLinks) {
    link.mSilent = link.mSilent || !CanReach(ends.first, ends.second);
    link.mEpoch += CanReach(ends.first, ends.second) ? 0 : 1;
  }
  for (auto& [session, connection] : mConnections) {
    connection.mSilent =
      connection.mSilent || !CanReach(connection.mHost, connection.mServer);
  }
  At(mNow + aDuration, [this, aCentre] { EndIsolation(aCentre); });
}

void
World::EndIsolation(std::size_t aCentre)
{
  int& count = mIsolated.at(aCentre);
  count = std::max(0, count - 1);
  for (std::size_t peer = 0; peer < kHostCount; ++peer) {
    if (peer != aCentre && CanReach(peer, aCentre)) {
      MendLink(peer, aCentre);
      MendLink(aCentre, peer);
    }
  }
}

void
World::Pause(std::size_t aHost, Duration aDuration, bool aAfterStep)
{
  if (aAfterStep) {
    mHosts[aHost].mPauseAfterStep = aDuration;
  } else {
    mHosts[aHost].mPausedUntil =
      std::max(mHosts[aHost].mPausedUntil, mNow + aDuration);
  }
}

void
World::FreezeAtAcknowledgement(std::size_t aHost, Duration aDuration)
{
  mHosts[aHost].mPauseAtAcknowledgement = aDuration;
}

void
World::Crash(std::size_t aHost)
{
  SimulatedHost& host = mHosts[aHost];
  if (!host.mUp) {
    return;
  }
  host.mUp = false;
  mOracle.OnCrash(aHost);
  mOracle.OnRestart(aHost);
  std::erase_if(mConnections, [&](const auto& aItem) {
    if (aItem.second.mHost == aHost) {
      mServers[aItem.second.mServer]->Close(aItem.first);
      return true;
    }
    return false;
  });
  for (SimulatedCaller& caller : mCallers) {
    // Callers of the host see a broken connection.
    if (caller.mCall && caller.mHost == aHost) {
      CallerAnswer lost;
      lost.mOutcome = Outcome::Unknown;
      Receive(caller, lost);
    }
  }
  for (std::size_t peer = 0; peer < kHostCount; ++peer) {
    if (peer != aHost) {
      BreakLink(peer, aHost, false);
      mLinks[{ aHost, peer }].mUp = false;
    }
  }
}

void
World::TellVersion(std::size_t aHost, bool aIsNew)
{
  mVersion += aIsNew ? 1 : 0;
  const std::uint64_t version = aIsNew ? mVersion : 1;
  Deliver(aHost, ConfigurationLoaded{ MakeConfiguration(version) });
}

void
World::Restart(std::size_t aHost)
{
  if (!mHosts[aHost].mUp) {
    StartHost(aHost);
  }
}

void
World::Heal()
{
  for (std::size_t n = 0; n < kServerCount; ++n) {
    Revive(n);
  }
  mIsolated = {};
  for (std::size_t n = 0; n < kHostCount; ++n) {
    mHosts[n].mPauseAfterStep = Duration{ 0 };
    mHosts[n].mPauseAtAcknowledgement = Duration{ 0 };
    Restart(n);
  }
  for (auto& [ends, link] : mLinks) {
    if (link.mSilent || !link.mUp) {
      MendLink(ends.first, ends.second);
    }
  }
}

}
