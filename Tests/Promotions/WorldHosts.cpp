#include "Promotions/World.h"

#include <algorithm>
#include <memory>

#include "Gateway/Step.h"

namespace camphorstep::promotions {

using namespace gateway;
using gateway::AnswerCaller;
using gateway::CallId;
using gateway::Effect;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kCallersPerHost = 3;
/// How long a host waits for the store's answer.
constexpr Duration kStoreTimeout = 1s;
/// How long a caller waits before it opens another session.
constexpr Duration kReopenDelay = 200ms;

/// One process's view of the platform: who calls, and until when it lives.
struct Sender
{
  std::size_t mHost = 0;
  std::uint64_t mLife = 0;
};

Sender
SenderOf(const World& aWorld, std::size_t aHost)
{
  return { aHost, aWorld.mHosts.at(aHost).mLife };
}

bool
IsAlive(const World& aWorld, const Sender& aSender)
{
  const Host& host = aWorld.mHosts.at(aSender.mHost);
  return host.mIsUp && host.mLife == aSender.mLife;
}

void
DeliverAfter(World& aWorld,
             const Sender& aSender,
             Duration aDelay,
             EventBody aEvent)
{
  After(aWorld, aDelay, [&aWorld, aSender, event = std::move(aEvent)] {
    Deliver(aWorld, aSender.mHost, aSender.mLife, event);
  });
}

Duration
DrawLatency(World& aWorld)
{
  return DrawMilliseconds(aWorld.mRandom, 2, 30);
}

/// Calls the store. aPerform gives the answer, aFailure the event if there is
/// no answer. A write without an answer may be performed late.
void
CallStore(World& aWorld,
          std::size_t aHost,
          const std::function<EventBody()>& aPerform,
          const std::function<EventBody(CallOutcome)>& aFailure,
          bool aWrites)
{
  const Sender sender = SenderOf(aWorld, aHost);
  if (aWorld.mIsStoreDown) {
    DeliverAfter(
      aWorld, sender, DrawLatency(aWorld), aFailure(CallOutcome::Refused));
    return;
  }
  const bool isCut = IsCut(aWorld, aWorld.mHosts.at(aHost).mName, "store");
  const bool isLost = isCut || DrawChance(aWorld.mRandom, 1);
  if (isLost && aWrites && DrawChance(aWorld.mRandom, 30)) {
    After(
      aWorld, DrawMilliseconds(aWorld.mRandom, 10, 4'000), [&aWorld, aPerform] {
        if (!aWorld.mIsStoreDown) {
          aPerform();
        }
      });
  }
  if (isLost) {
    DeliverAfter(aWorld,
                 sender,
                 isCut ? DrawMilliseconds(aWorld.mRandom, 10, 1'000)
                       : kStoreTimeout,
                 aFailure(CallOutcome::Unknown));
    return;
  }
  After(aWorld, DrawLatency(aWorld), [&aWorld, sender, aPerform, aFailure] {
    DeliverAfter(aWorld,
                 sender,
                 DrawLatency(aWorld),
                 aWorld.mIsStoreDown ? aFailure(CallOutcome::Refused)
                                     : aPerform());
  });
}

std::function<EventBody(CallOutcome)>
TableFailure(CallId aCall, Table aTable)
{
  return [aCall, aTable](CallOutcome aOutcome) {
    TableAnswer answer;
    answer.mCall = aCall;
    answer.mTable = aTable;
    answer.mOutcome = aOutcome;
    return answer;
  };
}

std::function<EventBody(CallOutcome)>
WriteFailure(CallId aCall)
{
  return [aCall](CallOutcome aOutcome) {
    StoreWritten answer;
    answer.mCall = aCall;
    answer.mOutcome = aOutcome;
    return answer;
  };
}

/// The platform receives an order to promote.
CallOutcome
ReceiveOrder(World& aWorld, const PromoteServer& aOrder)
{
  if (aWorld.mNow < aWorld.mPromotionsRefusedUntil) {
    return CallOutcome::Refused;
  }
  Trace(aWorld,
        "order of " + aOrder.mHolder + " to promote " + aOrder.mServer +
          " arrives, token " + std::to_string(aOrder.mToken));
  NoteOrder(aWorld.mOracle, aOrder.mHolder, aOrder.mToken);
  const auto server = aWorld.mServers.find(aOrder.mServer);
  if (server == aWorld.mServers.end() || !server->second.mIsUp) {
    return CallOutcome::Conflict;
  }
  After(aWorld,
        DrawMilliseconds(aWorld.mRandom, 200, 400),
        [&aWorld, name = aOrder.mServer] { Promote(aWorld, name); });
  return CallOutcome::Ok;
}

/// Sends an order to promote. The sender gives it up when it expires; then it
/// arrives only if calls outlive their sender.
void
SendOrder(World& aWorld, std::size_t aHost, const PromoteServer& aOrder)
{
  const Sender sender = SenderOf(aWorld, aHost);
  const auto isAnswered = std::make_shared<bool>(false);
  const auto answer = [&aWorld, sender, isAnswered, call = aOrder.mCall](
                        CallOutcome aOutcome) {
    if (!*isAnswered) {
      *isAnswered = true;
      Deliver(
        aWorld, sender.mHost, sender.mLife, PromoteAnswered{ call, aOutcome });
    }
  };
  After(aWorld, aOrder.mExpiresAt - aWorld.mNow, [answer] {
    answer(CallOutcome::Unknown);
  });
  const auto transit =
    DrawTransit(aWorld, aWorld.mHosts.at(aHost).mName, "platform");
  if (!transit) {
    return;
  }
  After(aWorld, *transit, [&aWorld, aOrder, sender, answer] {
    const bool isGivenUp =
      aWorld.mNow >= aOrder.mExpiresAt || !IsAlive(aWorld, sender);
    if (isGivenUp && !aWorld.mRules.mCallsOutliveSender) {
      return;
    }
    const CallOutcome outcome = ReceiveOrder(aWorld, aOrder);
    const Duration delay = DrawMilliseconds(aWorld.mRandom, 2, 500);
    if (!DrawChance(aWorld.mRandom, 3)) {
      After(aWorld, delay, [answer, outcome] { answer(outcome); });
    }
  });
}

/// Which host has an address.
std::optional<std::size_t>
HostAt(const World& aWorld, const Address& aAddress)
{
  for (std::size_t n = 0; n < kHostCount; ++n) {
    if (aWorld.mHosts.at(n).mState.mSelf.mEntry.mPeerAddress == aAddress) {
      return n;
    }
  }
  return std::nullopt;
}

/// Connections between hosts are numbered so that the answer finds its way: by
/// the asking host and its start.
constexpr std::uint64_t kLivesPerHost = 1'000;

void
SendQuery(World& aWorld, std::size_t aHost, const SendPeerQuery& aSend)
{
  const Sender sender = SenderOf(aWorld, aHost);
  const auto other = HostAt(aWorld, aSend.mAddress);
  if (!other || IsCut(aWorld,
                      aWorld.mHosts.at(aHost).mName,
                      aWorld.mHosts.at(*other).mName)) {
    return;
  }
  if (!aWorld.mHosts.at(*other).mIsUp) {
    DeliverAfter(aWorld, sender, DrawLatency(aWorld), PeerConnectionLost{});
    return;
  }
  const PeerLinkId link{ aHost * kLivesPerHost + sender.mLife + 1 };
  DeliverAfter(aWorld,
               SenderOf(aWorld, *other),
               DrawLatency(aWorld),
               PeerQueryReceived{ link, aSend.mQuery });
}

void
SendReport(World& aWorld, std::size_t aHost, const SendPeerReport& aSend)
{
  const std::uint64_t number = aSend.mLink.mValue - 1;
  const Sender asking{ number / kLivesPerHost, number % kLivesPerHost };
  if (const auto transit = DrawTransit(aWorld,
                                       aWorld.mHosts.at(aHost).mName,
                                       aWorld.mHosts.at(asking.mHost).mName)) {
    DeliverAfter(aWorld, asking, *transit, aSend.mReport);
  }
}

Caller*
FindCaller(Host& aHost, SessionId aSession)
{
  const auto caller = std::find_if(
    aHost.mCallers.begin(), aHost.mCallers.end(), [&](const Caller& aCaller) {
      return aCaller.mSession == aSession;
    });
  return caller == aHost.mCallers.end() ? nullptr : &*caller;
}

void
OpenSession(World& aWorld, const Sender& aSender, std::size_t aCaller)
{
  if (!IsAlive(aWorld, aSender)) {
    return;
  }
  Caller& caller = aWorld.mHosts.at(aSender.mHost).mCallers.at(aCaller);
  caller = { SessionId{ ++aWorld.mLastSession }, 0 };
  Deliver(aWorld,
          aSender.mHost,
          aSender.mLife,
          SessionOpened{ caller.mSession, "main" });
}

void
ReopenSession(World& aWorld, std::size_t aHost, SessionId aSession)
{
  Host& host = aWorld.mHosts.at(aHost);
  const Caller* const caller = FindCaller(host, aSession);
  if (caller == nullptr) {
    return;
  }
  const auto index = static_cast<std::size_t>(caller - host.mCallers.data());
  const Sender sender = SenderOf(aWorld, aHost);
  After(aWorld, kReopenDelay, [&aWorld, sender, index] {
    OpenSession(aWorld, sender, index);
  });
}

void
SendWrite(World& aWorld, const Sender& aSender, SessionId aSession)
{
  Caller* const caller = FindCaller(aWorld.mHosts.at(aSender.mHost), aSession);
  if (!IsAlive(aWorld, aSender) || caller == nullptr) {
    return;
  }
  caller->mWrite = ++aWorld.mLastWrite;
  Statement statement;
  statement.mId = "w" + std::to_string(caller->mWrite);
  statement.mKind = StatementKind::Write;
  statement.mText = std::to_string(caller->mWrite);
  Deliver(aWorld,
          aSender.mHost,
          aSender.mLife,
          StatementReceived{ aSession, statement });
}

void
ContinueCaller(World& aWorld, std::size_t aHost, SessionId aSession)
{
  const Sender sender = SenderOf(aWorld, aHost);
  After(aWorld,
        DrawMilliseconds(aWorld.mRandom, 10, 60),
        [&aWorld, sender, aSession] { SendWrite(aWorld, sender, aSession); });
}

void
HandleAnswer(World& aWorld, std::size_t aHost, const AnswerCaller& aAnswer)
{
  Caller* const caller = FindCaller(aWorld.mHosts.at(aHost), aAnswer.mSession);
  if (caller == nullptr) {
    return;
  }
  if (aAnswer.mCode == ResultCode::Ok && aAnswer.mPosition) {
    NoteAcknowledged(aWorld.mOracle,
                     { aAnswer.mPosition->mTerm, caller->mWrite });
  }
  ContinueCaller(aWorld, aHost, aAnswer.mSession);
}

void
TraceRecord(const World& aWorld,
            std::size_t aHost,
            const WriteLogRecord& aRecord)
{
  std::string text = aWorld.mHosts.at(aHost).mName + ": " + aRecord.mEvent;
  for (const LogValue& value : aRecord.mValues) {
    text += " " + value.mName + "=" + value.mValue;
  }
  Trace(aWorld, text);
}

/// Carries out the effects of a host.
struct EffectHandler
{
  World& mWorld;
  std::size_t mHost;

  void operator()(const AcceptSession& aEffect) const
  {
    ContinueCaller(mWorld, mHost, aEffect.mSession);
  }
  void operator()(const AnswerCaller& aEffect) const
  {
    HandleAnswer(mWorld, mHost, aEffect);
  }
  void operator()(const RefuseSession& aEffect) const
  {
    ReopenSession(mWorld, mHost, aEffect.mSession);
  }
  void operator()(const CloseSession& aEffect) const
  {
    ReopenSession(mWorld, mHost, aEffect.mSession);
  }
  void operator()(const OpenLink& aEffect) const
  {
    OpenConnection(mWorld, mHost, aEffect);
  }
  void operator()(const CloseLink&) const {}
  // Hosts pass no sessions on unless their settings permit it.
  void operator()(const ReportSessionMemory&) const {}
  void operator()(const OpenRelay&) const {}
  void operator()(const SendOnRelay&) const {}
  void operator()(const EndRelay&) const {}
  void operator()(const SendOnLink& aEffect) const
  {
    SendToServer(mWorld, mHost, aEffect);
  }
  void operator()(const ReadTable& aEffect) const
  {
    CallStore(
      mWorld,
      mHost,
      [&world = mWorld, aEffect] {
        return ReadRows(world.mStore, aEffect, world.mNow);
      },
      TableFailure(aEffect.mCall, aEffect.mTable),
      false);
  }
  void operator()(const WatchTable& aEffect) const
  {
    if (aEffect.mWait > Duration{ 0 } && !HasChanges(mWorld.mStore, aEffect)) {
      WatchTable again = aEffect;
      again.mWait = Duration{ 0 };
      After(
        mWorld, aEffect.mWait, [handler = *this, again] { handler(again); });
      return;
    }
    CallStore(
      mWorld,
      mHost,
      [&world = mWorld, aEffect] {
        return ReadChanges(world.mStore, aEffect, world.mNow);
      },
      TableFailure(aEffect.mCall, aEffect.mTable),
      false);
  }
  void operator()(const WriteHostEntry& aEffect) const
  {
    CallStore(
      mWorld,
      mHost,
      [&world = mWorld, aEffect] {
        PutHost(world.mStore, aEffect.mEntry);
        return StoreWritten{ aEffect.mCall,
                             CallOutcome::Ok,
                             CurrentVersion(world.mStore),
                             world.mNow.time_since_epoch() };
      },
      WriteFailure(aEffect.mCall),
      true);
  }
  void operator()(const WriteLease& aEffect) const
  {
    CallStore(
      mWorld,
      mHost,
      [&world = mWorld, aEffect] {
        const StoreWritten written =
          PutLease(world.mStore, aEffect, world.mNow);
        // A late write of an earlier era gives nobody the lease.
        if (written.mOutcome == CallOutcome::Ok &&
            EraOf(aEffect.mLease.mRowVersion) == world.mStore.mEra) {
          NoteGrant(
            world.mOracle, aEffect.mLease.mHolder, aEffect.mLease.mToken);
        }
        return written;
      },
      WriteFailure(aEffect.mCall),
      true);
  }
  void operator()(const PromoteServer& aEffect) const
  {
    SendOrder(mWorld, mHost, aEffect);
  }
  void operator()(const SendPeerQuery& aEffect) const
  {
    SendQuery(mWorld, mHost, aEffect);
  }
  void operator()(const SendPeerReport& aEffect) const
  {
    SendReport(mWorld, mHost, aEffect);
  }
  void operator()(const WriteLogRecord& aEffect) const
  {
    if (mWorld.mRules.mIsTraced && aEffect.mEvent != "statement served") {
      TraceRecord(mWorld, mHost, aEffect);
    }
  }
  void operator()(const RemoveHostEntry&) const {}
  // No account of this world has a limit.
  void operator()(const SendRateLimitQuery&) const {}
  void operator()(const SendRateLimitReport&) const {}
  void operator()(const SetReady&) const {}
  void operator()(const StopComplete&) const {}
};

/// Wakes a host when its next timer is due.
void
ArmWake(World& aWorld, std::size_t aHost)
{
  Host& host = aWorld.mHosts.at(aHost);
  const auto next = host.mState.mTimers.Next();
  if (!next || host.mWakeAt == *next) {
    return;
  }
  host.mWakeAt = *next;
  After(aWorld,
        std::max(*next - aWorld.mNow, Duration{ 0 }),
        [&aWorld, aHost, life = host.mLife, due = *next] {
          if (aWorld.mHosts.at(aHost).mWakeAt == due) {
            Deliver(aWorld, aHost, life, TimePassed{});
          }
        });
}

void
StepHost(World& aWorld, std::size_t aHost, EventBody aEvent)
{
  Host& host = aWorld.mHosts.at(aHost);
  const std::vector<Effect> effects =
    Step(host.mState, Event{ aWorld.mNow, std::move(aEvent) });
  for (const Effect& effect : effects) {
    std::visit(EffectHandler{ aWorld, aHost }, effect);
  }
  ArmWake(aWorld, aHost);
}

void
ThawHost(World& aWorld, std::size_t aHost, std::uint64_t aLife)
{
  Host& host = aWorld.mHosts.at(aHost);
  if (!host.mIsUp || host.mLife != aLife || aWorld.mNow < host.mFrozenUntil) {
    return;
  }
  std::deque<EventBody> backlog;
  backlog.swap(host.mBacklog);
  for (EventBody& event : backlog) {
    StepHost(aWorld, aHost, std::move(event));
  }
}

}

void
Deliver(World& aWorld, std::size_t aHost, std::uint64_t aLife, EventBody aEvent)
{
  Host& host = aWorld.mHosts.at(aHost);
  if (!host.mIsUp || host.mLife != aLife) {
    return;
  }
  if (aWorld.mNow < host.mFrozenUntil) {
    host.mBacklog.push_back(std::move(aEvent));
    return;
  }
  StepHost(aWorld, aHost, std::move(aEvent));
}

void
FreezeHost(World& aWorld, std::size_t aHost, Duration aFor)
{
  Host& host = aWorld.mHosts.at(aHost);
  host.mFrozenUntil = std::max(host.mFrozenUntil, aWorld.mNow + aFor);
  After(aWorld, aFor, [&aWorld, aHost, life = host.mLife] {
    ThawHost(aWorld, aHost, life);
  });
}

void
CrashHost(World& aWorld, std::size_t aHost)
{
  Host& host = aWorld.mHosts.at(aHost);
  host.mIsUp = false;
  host.mBacklog.clear();
  host.mCallers.clear();
}

void
StartHost(World& aWorld, std::size_t aHost)
{
  Host& host = aWorld.mHosts.at(aHost);
  if (host.mIsUp) {
    return;
  }
  const std::uint64_t life = ++host.mLife;
  host.mName = "h" + std::to_string(aHost + 1);
  host.mIsUp = true;
  host.mFrozenUntil = Instant{};
  host.mWakeAt = Instant{};
  host.mCallers.assign(kCallersPerHost, Caller{});
  host.mState = State{};
  host.mState.mSelf.mEntry = { host.mName,
                               { "10.0.0." + std::to_string(aHost + 1), 1 },
                               std::string(1, static_cast<char>('a' + aHost)),
                               life * kHostCount + aHost };
  host.mState.mSelf.mRegions = { { "a", "r" }, { "b", "r" }, { "c", "q" } };
  Start(host.mState, aWorld.mNow);
  StepHost(aWorld, aHost, TimePassed{});
  const Sender sender{ aHost, life };
  for (std::size_t n = 0; n < kCallersPerHost; ++n) {
    After(
      aWorld, 500ms, [&aWorld, sender, n] { OpenSession(aWorld, sender, n); });
  }
}

}
