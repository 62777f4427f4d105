#include "Gateway/LogLimit.h"

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

}
