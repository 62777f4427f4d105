#include "Gateway/LogLimit.h"

#include <string>
#include <utility>

#include "Gateway/Context.h"

namespace camphorstep::gateway {

namespace {

constexpr Duration kInterval{ 1'000'000 };

}

bool
MayLog(LogLimit& aLimit, Instant aNow, std::uint32_t aMaxLines)
{
  if (aNow - aLimit.mSince >= kInterval) {
    aLimit.mSince = aNow;
    aLimit.mLines = 0;
  }
  if (aLimit.mLines < aMaxLines) {
    ++aLimit.mLines;
    return true;
  }
  ++aLimit.mLeftOut;
  return false;
}

void
LogLimited(Context& aContext,
           LogLimit& aLimit,
           LogSeverity aSeverity,
           std::string_view aEvent,
           std::vector<LogValue> aValues)
{
  if (!MayLog(aLimit, aContext.mNow, 1)) {
    return;
  }
  if (const auto leftOut = std::exchange(aLimit.mLeftOut, 0)) {
    aValues.push_back({ "left_out", std::to_string(leftOut) });
  }
  Log(aContext, aSeverity, aEvent, std::move(aValues));
}

}
