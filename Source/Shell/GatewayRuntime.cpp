#include "Shell/GatewayRuntime.h"

#include <algorithm>
#include <exception>
#include <typeinfo>
#include <utility>
#include <vector>

#include <malloc.h>

#include "Common/IniFile.h"
#include "Common/Log.h"
#include "Common/TextFile.h"
#include "Gateway/Step.h"
#include "Shell/Clock.h"
#include "Shell/GatewayMetrics.h"
#include "Shell/LogRecords.h"

namespace camphorstep {

namespace {

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpNotFound = 404;
constexpr unsigned kHttpUnavailable = 503;
/// Timers are not set for less, so that the loop gets to sockets in between.
constexpr double kMinTimerMilliseconds = 0.5;

/// How often the settings file is compared, since it may change without a
/// signal.
constexpr double kSettingsCheckMilliseconds = 2'000.0;

constexpr double kThousandths = 1'000.0;
constexpr std::size_t kBytesPerKb = 1024;

/// Buffers of this size are taken from the system one by one.
constexpr int kLargeBuffer = 128 * 1024;
/// The free memory that the process keeps.
constexpr int kKeptHeap = 4 * 1024 * 1024;

/// Wakes the event loop because a stop is asked for.
class StopEvent : public cxxtools::BasicEvent<StopEvent>
{};

/// Wakes the event loop because the settings are to be read again.
class ReloadEvent : public cxxtools::BasicEvent<ReloadEvent>
{};

bool
SameListeners(const GatewaySettings& aFirst, const GatewaySettings& aSecond)
{
  return aFirst.mCallerAddress == aSecond.mCallerAddress &&
         aFirst.mReadinessAddress == aSecond.mReadinessAddress &&
         aFirst.mMetricsAddress == aSecond.mMetricsAddress &&
         aFirst.mPeerAddress == aSecond.mPeerAddress &&
         aFirst.mHostName == aSecond.mHostName;
}

std::size_t
MaxSessionBytes(const GatewaySettings& aSettings)
{
  return static_cast<std::size_t>(aSettings.mSessionKb) * kBytesPerKb;
}

/// Has large buffers be given back to the system as soon as they are freed.
/// Otherwise a crowd of callers leaves a heap behind that stays large.
void
ReturnLargeBuffers(const GatewaySettings& aSettings)
{
  if (aSettings.mMemoryMb > 0) {
    ::mallopt(M_MMAP_THRESHOLD, kLargeBuffer);
    ::mallopt(M_TRIM_THRESHOLD, kKeptHeap);
  }
}

gateway::State
MakeState(const GatewaySettings& aSettings)
{
  gateway::State state;
  state.mSelf.mEntry = { aSettings.mHostName,
                         aSettings.mPeerAddress,
                         aSettings.mDataCentre,
                         // Fits the signed numbers of JSON readers.
                         RandomBits() >> 1U,
                         static_cast<std::uint32_t>(aSettings.mProcessorShare *
                                                    kThousandths) };
  state.mSelf.mRegions = aSettings.mRegions;
  state.mSelf.mStopGrace = aSettings.mStopGrace;
  state.mRateLimits.mBounds = aSettings.mLimitBounds;
  state.mSelf.mMaxSessionBytes = MaxSessionBytes(aSettings);
  state.mSelf.mIsRelaying = aSettings.mIsRelaying;
  state.mSelf.mRevokeTimeout = aSettings.mRevokeTimeout;
  return state;
}

/// The settings that the core follows.
gateway::SettingsChanged
AsEvent(const GatewaySettings& aSettings)
{
  gateway::SettingsChanged event;
  event.mRegions = aSettings.mRegions;
  event.mStopGrace = aSettings.mStopGrace;
  event.mLimitBounds = aSettings.mLimitBounds;
  event.mMaxSessionBytes = MaxSessionBytes(aSettings);
  event.mIsRelaying = aSettings.mIsRelaying;
  event.mRevokeTimeout = aSettings.mRevokeTimeout;
  return event;
}

}

GatewayRuntime::GatewayRuntime(std::string aSettingsPath,
                               const GatewayAdapterFactory& aFactory)
  : mSettingsPath(std::move(aSettingsPath))
  , mSettingsText(ReadTextFile(mSettingsPath))
  , mSettings(ParseGatewaySettings(ParseIni(mSettingsText, mSettingsPath)))
  , mState(MakeState(mSettings))
  , mReadiness(
      mLoop,
      mSettings.mReadinessAddress,
      [this](const std::string& aPath) { return AnswerReadiness(aPath); },
      LimitsOf(mSettings).mMonitors)
  , mMetrics(
      mLoop,
      mSettings.mMetricsAddress,
      [this](const std::string& aPath) { return AnswerMetrics(aPath); },
      LimitsOf(mSettings).mMonitors)
  , mPeers(mLoop, *this, mSettings.mPeerAddress, LimitsOf(mSettings))
  , mAdapter(aFactory(mSettings, mLoop, *this))
{
  ReturnLargeBuffers(mSettings);
  cxxtools::connect(mLoop.event, *this, &GatewayRuntime::OnWake);
  cxxtools::connect(mTimer.timeout, *this, &GatewayRuntime::OnTimer);
  cxxtools::connect(
    mSettingsTimer.timeout, *this, &GatewayRuntime::OnSettingsTimer);
  mTimer.setSelector(mLoop);
  mSettingsTimer.setSelector(mLoop);
  mSettingsTimer.start(cxxtools::Milliseconds(kSettingsCheckMilliseconds));
  gateway::Start(mState, MonotonicNow());
}

void
GatewayRuntime::Run()
{
  Deliver(gateway::TimePassed{});
  mLoop.run();
}

void
GatewayRuntime::RequestStop()
{
  mLoop.commitEvent(StopEvent());
}

void
GatewayRuntime::RequestReload()
{
  mLoop.commitEvent(ReloadEvent());
}

void
GatewayRuntime::Deliver(gateway::EventBody aEvent)
{
  mEvents.push_back(std::move(aEvent));
  // Carrying an effect out may bring the next event about.
  if (mStepping) {
    return;
  }
  mStepping = true;
  while (!mEvents.empty()) {
    gateway::EventBody event = std::move(mEvents.front());
    mEvents.pop_front();
    StepOnce(std::move(event));
  }
  mAdapter->Flush();
  mStepping = false;
  if (!mEvents.empty()) {
    Deliver(gateway::TimePassed{});
    return;
  }
  ArmTimer();
}

void
GatewayRuntime::StepOnce(gateway::EventBody aEvent)
{
  const std::vector<gateway::Effect> effects =
    gateway::Step(mState, { MonotonicNow(), std::move(aEvent) });
  for (const gateway::Effect& effect : effects) {
    Apply(effect);
  }
}

void
GatewayRuntime::Apply(const gateway::Effect& aEffect)
{
  if (const auto* const record = std::get_if<WriteLogRecord>(&aEffect)) {
    WriteRecord(*record);
  } else if (const auto* const query =
               std::get_if<gateway::SendPeerQuery>(&aEffect)) {
    mPeers.Carry(*query);
  } else if (const auto* const answer =
               std::get_if<gateway::SendPeerReport>(&aEffect)) {
    mPeers.Carry(*answer);
  } else if (const auto* const limitQuery =
               std::get_if<gateway::SendRateLimitQuery>(&aEffect)) {
    mPeers.Carry(*limitQuery);
  } else if (const auto* const limitReport =
               std::get_if<gateway::SendRateLimitReport>(&aEffect)) {
    mPeers.Carry(*limitReport);
  } else if (std::holds_alternative<StopComplete>(aEffect)) {
    mAdapter->Flush();
    mLoop.exit();
  } else if (!mPeers.CarryRelayed(aEffect)) {
    mAdapter->Apply(aEffect);
  }
}

void
GatewayRuntime::ArmTimer()
{
  const std::optional<Instant> next = mState.mTimers.Next();
  if (!next || (mTimer.active() && *next == mTimerDue)) {
    return;
  }
  mTimerDue = *next;
  const double delay =
    std::chrono::duration<double, std::milli>(*next - MonotonicNow()).count();
  mTimer.after(cxxtools::Milliseconds(std::max(delay, kMinTimerMilliseconds)));
}

void
GatewayRuntime::OnWake(const cxxtools::Event& aEvent)
{
  if (aEvent.typeInfo() == typeid(ReloadEvent)) {
    ReloadSettings();
    return;
  }
  Deliver(gateway::StopRequested{});
}

void
GatewayRuntime::OnSettingsTimer()
{
  ReloadSettings();
}

void
GatewayRuntime::ReloadSettings()
{
  try {
    std::string text = ReadTextFile(mSettingsPath);
    if (text == mSettingsText) {
      return;
    }
    mSettingsText = std::move(text);
    const GatewaySettings settings =
      ParseGatewaySettings(ParseIni(mSettingsText, mSettingsPath));
    if (!SameListeners(settings, mSettings)) {
      WriteLog(LogLevel::Warning,
               "changed names and listening addresses take a restart");
    }
    mSettings = settings;
    mAdapter->ChangeSettings(mSettings);
    WriteLog(LogLevel::Info, "settings reloaded");
    Deliver(AsEvent(mSettings));
  } catch (const std::exception& ex) {
    WriteLog(LogLevel::Error,
             "settings were not reloaded; the former ones stay in force",
             { { "error", ex.what() } });
  }
}

void
GatewayRuntime::OnTimer()
{
  mTimerDue = Instant::max();
  Deliver(gateway::TimePassed{});
}

HttpPage
GatewayRuntime::AnswerReadiness(const std::string&) const
{
  return { mState.mReady ? kHttpOk : kHttpUnavailable,
           "text/plain",
           mState.mReady ? "ready\n" : "not ready\n" };
}

HttpPage
GatewayRuntime::AnswerMetrics(const std::string& aPath) const
{
  if (aPath != "/metrics") {
    return { kHttpNotFound, "text/plain", "not found\n" };
  }
  return { kHttpOk,
           "text/plain; version=0.0.4",
           MetricsText(mState, mAdapter->Counters()) };
}

}
