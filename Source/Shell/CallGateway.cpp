#include "Shell/CallGateway.h"

#include <chrono>
#include <utility>

namespace camphorstep {

namespace {

constexpr std::chrono::milliseconds kGoneCheckInterval(50);

}

CallGateway::CallGateway(EventSink& aSink)
  : mSink(aSink)
{
}

CallerAnswer
CallGateway::Execute(CallerRequest aRequest, const GoneCheck& aIsGone)
{
  const CallId call{ ++mLastCall };
  aRequest.mCall = call;
  std::future<CallerAnswer> answer;
  {
    const std::lock_guard lock(mMutex);
    answer = mWaiting[call].get_future();
  }
  mSink.Post(std::move(aRequest));
  while (answer.wait_for(kGoneCheckInterval) == std::future_status::timeout) {
    if (aIsGone()) {
      mSink.Post(CallerGone{ call });
      break;
    }
  }
  return answer.get();
}

void
CallGateway::Complete(CallerAnswer aAnswer)
{
  std::promise<CallerAnswer> waiting;
  {
    const std::lock_guard lock(mMutex);
    const auto it = mWaiting.find(aAnswer.mCall);
    if (it == mWaiting.end()) {
      return;
    }
    waiting = std::move(it->second);
    mWaiting.erase(it);
  }
  waiting.set_value(std::move(aAnswer));
}

}
