#include "Gateway/Context.h"

#include <utility>

namespace camphorstep::gateway {

namespace {

/// How many lines on refused statements and sessions are written in a second.
constexpr std::uint32_t kMaxRefusalLines = 100;

}

void
Emit(Context& aContext, Effect aEffect)
{
  aContext.mEffects.push_back(std::move(aEffect));
}

void
Log(Context& aContext,
    LogSeverity aSeverity,
    std::string_view aEvent,
    std::vector<LogValue> aValues)
{
  Emit(aContext,
       WriteLogRecord{ aSeverity, std::string(aEvent), std::move(aValues) });
}

void
LogRefusal(Context& aContext,
           std::string_view aEvent,
           std::vector<LogValue> aValues)
{
  LogLimit& limit = aContext.mState.mRefusalLog;
  if (!MayLog(limit, aContext.mNow, kMaxRefusalLines)) {
    return;
  }
  if (limit.mLeftOut > 0) {
    aValues.push_back(
      { "left_out", std::to_string(std::exchange(limit.mLeftOut, 0)) });
  }
  Log(aContext, LogSeverity::Info, aEvent, std::move(aValues));
}

std::string
Milliseconds(Duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

std::string
Describe(const Position& aPosition)
{
  return std::to_string(aPosition.mTerm) + "." +
         std::to_string(aPosition.mIndex);
}

}
