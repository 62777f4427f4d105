#include "Shell/OperatorGateway.h"

#include <chrono>
#include <utility>

namespace camphorstep {

namespace {

/// The core answers sooner; the limit keeps a thread from waiting for a core
/// that has ended.
constexpr auto kAnswerTimeout = std::chrono::seconds(20);

OperatorAnswer
MakeTimeoutAnswer()
{
  OperatorAnswer answer;
  answer.mCode = ResultCode::Stopping;
  answer.mOutcome = Outcome::Unknown;
  answer.mMessage = "the host did not answer";
  return answer;
}

}

OperatorGateway::OperatorGateway(EventSink& aSink)
  : mSink(aSink)
{
}

OperatorAnswer
OperatorGateway::Execute(OperatorRequest aRequest)
{
  aRequest.mCall = OperatorCallId{ ++mLastCall };
  const OperatorCallId call = aRequest.mCall;
  std::future<OperatorAnswer> answer;
  {
    const std::lock_guard lock(mMutex);
    answer = mWaiting[call].get_future();
  }
  mSink.Post(std::move(aRequest));
  if (answer.wait_for(kAnswerTimeout) == std::future_status::ready) {
    return answer.get();
  }
  const std::lock_guard lock(mMutex);
  mWaiting.erase(call);
  return MakeTimeoutAnswer();
}

void
OperatorGateway::Complete(OperatorAnswer aAnswer)
{
  const std::lock_guard lock(mMutex);
  const auto it = mWaiting.find(aAnswer.mCall);
  if (it == mWaiting.end()) {
    return;
  }
  it->second.set_value(std::move(aAnswer));
  mWaiting.erase(it);
}

}
