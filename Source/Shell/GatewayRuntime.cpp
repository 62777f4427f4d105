#include "Shell/GatewayRuntime.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Common/Log.h"
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

/// Wakes the event loop because a stop is asked for.
class StopEvent : public cxxtools::BasicEvent<StopEvent>
{};

gateway::State
MakeState(const GatewaySettings& aSettings)
{
  gateway::State state;
  state.mSelf.mEntry = { aSettings.mHostName,
                         aSettings.mPeerAddress,
                         aSettings.mDataCentre,
                         // Fits the signed numbers of JSON readers.
                         RandomBits() >> 1U };
  state.mSelf.mRegions = aSettings.mRegions;
  state.mSelf.mStopGrace = aSettings.mStopGrace;
  return state;
}

}

GatewayRuntime::GatewayRuntime(const GatewaySettings& aSettings,
                               const GatewayAdapterFactory& aFactory)
  : mState(MakeState(aSettings))
  , mReadiness(
      mLoop,
      aSettings.mReadinessAddress,
      [this](const std::string& aPath) { return AnswerReadiness(aPath); })
  , mMetrics(mLoop,
             aSettings.mMetricsAddress,
             [this](const std::string& aPath) { return AnswerMetrics(aPath); })
  , mAdapter(aFactory(aSettings, mLoop, *this))
{
  cxxtools::connect(mLoop.event, *this, &GatewayRuntime::OnWake);
  cxxtools::connect(mTimer.timeout, *this, &GatewayRuntime::OnTimer);
  mTimer.setSelector(mLoop);
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
  } else if (std::holds_alternative<StopComplete>(aEffect)) {
    mAdapter->Flush();
    mLoop.exit();
  } else {
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
GatewayRuntime::OnWake(const cxxtools::Event&)
{
  Deliver(gateway::StopRequested{});
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
  return { kHttpOk, "text/plain; version=0.0.4", MetricsText(mState) };
}

}
