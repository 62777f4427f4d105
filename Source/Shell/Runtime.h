#pragma once

#include <mutex>
#include <vector>

#include <cxxtools/connectable.h>
#include <cxxtools/event.h>
#include <cxxtools/eventloop.h>
#include <cxxtools/timer.h>

#include "Messages/Effect.h"
#include "Reducer/State.h"
#include "Settings/Settings.h"
#include "Shell/CallGateway.h"
#include "Shell/EventSink.h"
#include "Shell/OperatorGateway.h"
#include "Shell/PeerLinks.h"
#include "Shell/ServerLinks.h"
#include "Shell/StatusSnapshot.h"
#include "Shell/StoreClient.h"

namespace camphorstep {

/// Drives the core: turns input into events, gives them to Step one by one
/// on the thread of its event loop, and carries out the effects.
class Runtime
  : public EventSink
  , public cxxtools::Connectable
{
public:
  explicit Runtime(const Settings& aSettings);

  /// Runs until a planned stop is complete.
  void Run();

  void Post(EventBody aEvent) override;
  void Deliver(EventBody aEvent) override;

  CallGateway& Gateway() { return mGateway; }
  OperatorGateway& Operators() { return mOperators; }
  const StatusBoard& Board() const { return mBoard; }

private:
  void OnWake(const cxxtools::Event& aEvent);
  void OnTick();
  void OnWakeTimer();
  void HandlePosted();
  void PublishStatus();
  void Apply(const Effect& aEffect);

  // One overload for each effect.
  void Carry(const AnswerCaller& aEffect);
  void Carry(const SendToPeer& aEffect);
  void Carry(const OpenConnection& aEffect);
  void Carry(const CloseConnection& aEffect);
  void Carry(const SendToServer& aEffect);
  void Carry(const WriteLogRecord& aEffect);
  void Carry(const StopComplete& aEffect);
  void Carry(const StoreRead& aEffect);
  void Carry(const StoreWrite& aEffect);
  void Carry(const ReadHostList& aEffect);
  void Carry(const AnswerOperator& aEffect);
  void Carry(const ReopenPeerLink& aEffect);
  void Carry(const WakeAfter& aEffect);
  void Carry(const SetIntake& aEffect);

  const Settings& mSettings;
  State mState;
  cxxtools::EventLoop mLoop;
  cxxtools::Timer mTimer;
  cxxtools::Timer mWakeTimer;
  CallGateway mGateway;
  OperatorGateway mOperators;
  StatusBoard mBoard;
  PeerLinks mPeers;
  ServerLinks mServers;
  std::mutex mMutex;
  std::vector<EventBody> mPosted;
  Instant mLastStatus{};
  // Last, so that its threads end before what they post to.
  StoreClient mStore;
};

}
