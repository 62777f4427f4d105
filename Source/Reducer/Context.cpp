#include "Reducer/Context.h"

#include "Reducer/State.h"

namespace camphorstep {

void
Emit(Context& aContext, Effect aEffect)
{
  aContext.mOutbox.mEffects.push_back(std::move(aEffect));
}

void
SendTo(Context& aContext, HostId aHost, PeerMessage aMessage)
{
  if (aHost == aContext.mState.mSelf) {
    aContext.mOutbox.mLoopback.push_back(std::move(aMessage));
    return;
  }
  Emit(aContext, SendToPeer{ aHost, std::move(aMessage) });
}

void
LogRecord(Context& aContext,
          LogSeverity aSeverity,
          std::string_view aEvent,
          std::vector<LogValue> aValues)
{
  Emit(aContext,
       WriteLogRecord{ aSeverity, std::string(aEvent), std::move(aValues) });
}

RequestId
NewRequestId(Context& aContext)
{
  State& state = aContext.mState;
  return RequestId{ state.mIncarnation, ++state.mLastSequence };
}

}
