#include "Shell/Runtime.h"

#include <utility>

#include "Reducer/Step.h"
#include "Shell/Clock.h"
#include "Shell/LogRecords.h"

namespace camphorstep {

namespace {

constexpr double kTickMilliseconds = 5.0;
constexpr Duration kStatusInterval = std::chrono::milliseconds(200);

/// Threads of the callers' listener that never hold a request in progress:
/// they read and refuse.
constexpr int kSpareCallerThreads = 8;

/// Wakes the event loop because events have been posted.
class WakeEvent : public cxxtools::BasicEvent<WakeEvent>
{};

State
MakeState(const Settings& aSettings)
{
  State state;
  state.mSelf = aSettings.Self();
  state.mPlace = aSettings.mTopology.FindHost(state.mSelf)->mPlace;
  state.mIncarnation = RandomBits();
  state.mSessionKey = DeriveMacKey(aSettings.mSessionSecret, "session");
  state.mTopology = aSettings.mTopology;
  state.mMaxCalls =
    static_cast<int>(aSettings.mCallerThreads) - kSpareCallerThreads;
  state.mStartedAt = static_cast<std::uint64_t>(WallClockNow());
  state.mGeneration = aSettings.mGeneration;
  state.mStop.mNoticeDelay = aSettings.mStopNotice;
  state.mStop.mTimeout = aSettings.mStopTimeout;
  return state;
}

}

Runtime::Runtime(const Settings& aSettings)
  : mSettings(aSettings)
  , mState(MakeState(aSettings))
  , mGateway(*this)
  , mOperators(*this)
  , mPeers(mLoop,
           *this,
           aSettings.Self(),
           DeriveMacKey(aSettings.mPeerSecret, "peer"))
  , mServers(mLoop, *this)
  , mStore(*this, aSettings.mPlatformAddress)
{
  cxxtools::connect(mLoop.event, *this, &Runtime::OnWake);
  cxxtools::connect(mTimer.timeout, *this, &Runtime::OnTick);
  cxxtools::connect(mWakeTimer.timeout, *this, &Runtime::OnWakeTimer);
  mTimer.setSelector(mLoop);
  mWakeTimer.setSelector(mLoop);
  mTimer.start(cxxtools::Milliseconds(kTickMilliseconds));
  mPeers.Listen(aSettings.mPeerAddress);
  for (const auto& [id, host] : aSettings.mTopology.mHosts) {
    if (id != aSettings.Self()) {
      mPeers.AddPeer(host);
    }
  }
}

void
Runtime::Run()
{
  mLoop.run();
}

void
Runtime::Post(EventBody aEvent)
{
  bool first = false;
  {
    const std::lock_guard lock(mMutex);
    first = mPosted.empty();
    mPosted.push_back(std::move(aEvent));
  }
  if (first) {
    mLoop.commitEvent(WakeEvent());
  }
}

void
Runtime::Deliver(EventBody aEvent)
{
  const std::vector<Effect> effects =
    Step(mState, Event{ MonotonicNow(), std::move(aEvent) });
  for (const Effect& effect : effects) {
    Apply(effect);
  }
}

void
Runtime::OnWake(const cxxtools::Event&)
{
  HandlePosted();
}

void
Runtime::OnTick()
{
  mPeers.Maintain(MonotonicNow());
  mServers.CollectClosed();
  HandlePosted();
  Deliver(Tick{});
  PublishStatus();
}

void
Runtime::OnWakeTimer()
{
  Deliver(Wake{});
}

void
Runtime::HandlePosted()
{
  std::vector<EventBody> posted;
  {
    const std::lock_guard lock(mMutex);
    std::swap(posted, mPosted);
  }
  for (EventBody& event : posted) {
    Deliver(std::move(event));
  }
}

void
Runtime::PublishStatus()
{
  const Instant now = MonotonicNow();
  if (now - mLastStatus >= kStatusInterval) {
    mLastStatus = now;
    StatusSnapshot snapshot = MakeSnapshot(mState);
    const auto refused = mGateway.Intake().Refused();
    for (const Rank rank : kRanks) {
      RankCounters& counters = snapshot.mCounters.mRanks[IndexOf(rank)];
      counters.mRefusedAtEntry += refused[IndexOf(rank)];
    }
    snapshot.mTraffic = mPeers.TrafficFrom(mState.mPlace);
    mBoard.Put(std::move(snapshot));
  }
}

void
Runtime::Apply(const Effect& aEffect)
{
  std::visit([this](const auto& aBody) { Carry(aBody); }, aEffect);
}

void
Runtime::Carry(const AnswerCaller& aEffect)
{
  mGateway.Complete(aEffect.mAnswer);
}

void
Runtime::Carry(const SendToPeer& aEffect)
{
  mPeers.Send(aEffect.mHost, aEffect.mMessage);
}

void
Runtime::Carry(const OpenConnection& aEffect)
{
  if (const Server* const server =
        mState.mTopology.FindServer(aEffect.mServer)) {
    mServers.Open(aEffect.mConnection, server->mAddress);
  }
}

void
Runtime::Carry(const CloseConnection& aEffect)
{
  mServers.Close(aEffect.mConnection);
}

void
Runtime::Carry(const SendToServer& aEffect)
{
  mServers.Send(aEffect.mConnection, aEffect.mRequest);
}

void
Runtime::Carry(const WriteLogRecord& aEffect)
{
  WriteRecord(aEffect);
}

void
Runtime::Carry(const StopComplete&)
{
  mLoop.exit();
}

void
Runtime::Carry(const StoreRead& aEffect)
{
  mStore.Read(aEffect);
}

void
Runtime::Carry(const StoreWrite& aEffect)
{
  mStore.Write(aEffect);
}

void
Runtime::Carry(const ReadHostList& aEffect)
{
  mStore.ReadList(aEffect);
}

void
Runtime::Carry(const AnswerOperator& aEffect)
{
  mOperators.Complete(aEffect.mAnswer);
}

void
Runtime::Carry(const ReopenPeerLink& aEffect)
{
  mPeers.Reopen(aEffect.mHost);
}

void
Runtime::Carry(const WakeAfter& aEffect)
{
  if (!mWakeTimer.active()) {
    mWakeTimer.after(cxxtools::Milliseconds(
      std::chrono::duration<double, std::milli>(aEffect.mDelay).count()));
  }
}

void
Runtime::Carry(const SetIntake& aEffect)
{
  mGateway.Intake().Set(aEffect);
}

}
