#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <cxxtools/connectable.h>
#include <cxxtools/event.h>
#include <cxxtools/eventloop.h>
#include <cxxtools/timer.h>

#include "Budget/CallerCounters.h"
#include "Gateway/Effect.h"
#include "Gateway/Event.h"
#include "Gateway/State.h"
#include "Settings/GatewaySettings.h"
#include "Shell/GatewayPeers.h"
#include "Shell/GatewaySink.h"
#include "Shell/HttpResponder.h"

namespace camphorstep {

/// Speaks with callers, backend servers and the platform for the core.
class GatewayAdapter
{
public:
  virtual ~GatewayAdapter() = default;

  /// Starts to carry an effect out; what comes of it is delivered later.
  virtual void Apply(const gateway::Effect& aEffect) = 0;

  /// Sends what has been written since the last call.
  virtual void Flush() = 0;

  /// The callers that were refused or closed.
  virtual CallerCounters Counters() const = 0;

  /// Takes new addresses of the platform, and new limits of callers, into use.
  virtual void ChangeSettings(const GatewaySettings& aSettings) = 0;
};

using GatewayAdapterFactory =
  std::function<std::unique_ptr<GatewayAdapter>(const GatewaySettings&,
                                                cxxtools::SelectorBase&,
                                                GatewaySink&)>;

/// Drives the gateway's core: gives it events one by one on the thread of
/// its event loop, and has the adapter carry out the effects.
class GatewayRuntime
  : public GatewaySink
  , public cxxtools::Connectable
{
public:
  /// Reads the settings from a file, and again whenever it changes. Throws
  /// std::runtime_error if they do not pass the checks at first.
  GatewayRuntime(std::string aSettingsPath,
                 const GatewayAdapterFactory& aFactory);

  /// Runs until a planned stop is complete.
  void Run();

  void Deliver(gateway::EventBody aEvent) override;

  /// Asks for a planned stop, from any thread.
  void RequestStop();

  /// Has the settings read again, from any thread.
  void RequestReload();

  const GatewaySettings& Settings() const { return mSettings; }

private:
  void OnWake(const cxxtools::Event& aEvent);
  void OnSettingsTimer();
  void ReloadSettings();
  void OnTimer();
  void StepOnce(gateway::EventBody aEvent);
  void Apply(const gateway::Effect& aEffect);
  void ArmTimer();
  HttpPage AnswerReadiness(const std::string& aPath) const;
  HttpPage AnswerMetrics(const std::string& aPath) const;

  std::string mSettingsPath;
  std::string mSettingsText;
  GatewaySettings mSettings;
  gateway::State mState;
  cxxtools::EventLoop mLoop;
  cxxtools::Timer mSettingsTimer;
  cxxtools::Timer mTimer;
  Instant mTimerDue = Instant::max();
  HttpResponder mReadiness;
  HttpResponder mMetrics;
  GatewayPeers mPeers;
  std::unique_ptr<GatewayAdapter> mAdapter;
  std::deque<gateway::EventBody> mEvents;
  bool mStepping = false;
};

}
