#include "Gateway/LogLimit.h"

#include <string>
#include <utility>

#include "Gateway/Context.h"

namespace camphorstep::gateway {

namespace {

constexpr std::uint32_t kMaxLines = 100;
constexpr Duration kInterval{ 1'000'000 };

}

bool
MayLog(LogLimit& aLimit, Instant aNow)
{
  if (aNow - aLimit.mSince >= kInterval) {
    aLimit.mSince = aNow;
    aLimit.mLines = 0;
  }
  if (aLimit.mLines < kMaxLines) {
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
  if (!MayLog(aLimit, aContext.mNow)) {
    return;
  }
  if (const auto leftOut = std::exchange(aLimit.mLeftOut, 0)) {
    aValues.push_back({ "left_out", std::to_string(leftOut) });
  }
  Log(aContext, aSeverity, aEvent, std::move(aValues));
}

}
