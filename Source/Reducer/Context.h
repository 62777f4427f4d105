#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Common/Time.h"
#include "Messages/Effect.h"
#include "Messages/PeerMessage.h"
#include "Model/Ids.h"

namespace camphorstep {

struct State;

/// The effects and loopback messages that one step has produced so far.
struct Outbox
{
  std::vector<Effect> mEffects;
  /// Messages of this host to itself, handled within the same step.
  std::vector<PeerMessage> mLoopback;
};

/// The state, time and outbox that the handlers use during one step.
struct Context
{
  State& mState;
  Instant mNow;
  Outbox& mOutbox;
};

void Emit(Context& aContext, Effect aEffect);

/// Sends a message to a host, which may be this one.
void SendTo(Context& aContext, HostId aHost, PeerMessage aMessage);

void LogRecord(Context& aContext,
               LogSeverity aSeverity,
               std::string_view aEvent,
               std::vector<LogValue> aValues = {});

/// Returns a new request identifier, unique across processes.
RequestId NewRequestId(Context& aContext);

}
