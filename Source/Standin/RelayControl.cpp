#include "Standin/RelayControl.h"

#include <ostream>
#include <string>

namespace camphorstep {

namespace {

bool
Covers(const std::string& aDirections, const char* aDirection)
{
  return aDirections == "both" || aDirections == aDirection;
}

}

RelayControl::RelayControl(const Address& aListen, LinkRelay& aRelay)
  : mRelay(aRelay)
  , mPages(aListen)
{
  mPages.Add("/control", [this](auto& aOut, const auto& aParams) {
    ApplyParams(aParams);
    aOut << "{\"ok\":true}";
  });
  mPages.Add("/status", [this](auto& aOut, const auto&) { WriteStatus(aOut); });
  mPages.Start();
}

void
RelayControl::ApplyParams(const cxxtools::QueryParams& aParams)
{
  LinkDirection& forward = mRelay.Forward();
  LinkDirection& back = mRelay.Backward();
  if (aParams.has("delay_us")) {
    const std::int64_t delay = std::stoll(aParams.param("delay_us"));
    forward.mDelayMicros = delay;
    back.mDelayMicros = delay;
  }
  if (aParams.has("bytes_per_second")) {
    const std::int64_t rate = std::stoll(aParams.param("bytes_per_second"));
    forward.mBytesPerSecond = rate;
    back.mBytesPerSecond = rate;
  }
  if (aParams.has("cut")) {
    forward.mCut = Covers(aParams.param("cut"), "forward");
    back.mCut = Covers(aParams.param("cut"), "back");
  }
  if (aParams.has("silence")) {
    const std::string which = aParams.param("silence");
    if (Covers(which, "forward")) {
      mRelay.Silence(forward);
    }
    if (Covers(which, "back")) {
      mRelay.Silence(back);
    }
  }
  if (aParams.has("reset")) {
    mRelay.ResetConnections();
  }
  if (aParams.has("refuse")) {
    mRelay.SetRefusing(aParams.param("refuse") == "1");
  }
}

void
RelayControl::WriteStatus(std::ostream& aOut) const
{
  const LinkDirection& forward = mRelay.Forward();
  const LinkDirection& back = mRelay.Backward();
  aOut << "{\"bytes_forward\":" << forward.mBytes
       << ",\"bytes_back\":" << back.mBytes
       << ",\"datagrams_lost\":" << forward.mDatagramsLost + back.mDatagramsLost
       << ",\"connections\":" << mRelay.OpenFlows() << "}";
}

}
