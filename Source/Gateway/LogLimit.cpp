#include "Gateway/LogLimit.h"

#include <string>
#include <utility>

#include "Gateway/Context.h"

namespace camphorstep::gateway {

namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);

}

void
LogLimited(Context& aContext,
           LogLimit& aLimit,
           LogSeverity aSeverity,
           std::string_view aEvent,
           std::vector<LogValue> aValues)
{
  if (aContext.mNow < aLimit.mNextAt) {
    ++aLimit.mLeftOut;
    return;
  }
  aLimit.mNextAt = aContext.mNow + kLogInterval;
  aValues.push_back(
    { "left_out", std::to_string(std::exchange(aLimit.mLeftOut, 0)) });
  Log(aContext, aSeverity, aEvent, std::move(aValues));
}

}
