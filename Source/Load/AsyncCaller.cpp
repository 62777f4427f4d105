#include "Load/AsyncCaller.h"

#include <array>
#include <exception>
#include <utility>

namespace camphorstep {

AsyncCaller::AsyncCaller(cxxtools::SelectorBase& aLoop,
                         const Address& aProxy,
                         std::string aToken)
  : mClient(aLoop, aProxy.mIp, aProxy.mPort)
  , mToken(std::move(aToken))
{
  cxxtools::connect(mClient.bodyAvailable, *this, &AsyncCaller::OnBody);
  cxxtools::connect(mClient.replyFinished, *this, &AsyncCaller::OnFinished);
}

void
AsyncCaller::Start(const Call& aCall, OnResult aOnResult)
{
  mOnResult = std::move(aOnResult);
  mBody.clear();
  mRequest.clear();
  mRequest.url(aCall.mPath);
  FillRequest(mRequest, aCall, mToken);
  try {
    mClient.beginExecute(mRequest);
  } catch (const std::exception&) {
    mClient.close();
    Complete(CallResult{});
  }
}

std::size_t
AsyncCaller::OnBody(cxxtools::http::Client& aClient)
{
  std::array<char, 8'192> buf{};
  const std::streamsize n =
    aClient.in().readsome(buf.data(), static_cast<std::streamsize>(buf.size()));
  mBody.append(buf.data(), static_cast<std::size_t>(n));
  return static_cast<std::size_t>(n);
}

void
AsyncCaller::OnFinished(cxxtools::http::Client& aClient)
{
  CallResult result;
  try {
    aClient.endExecute();
    result = ParseCallResult(mBody);
  } catch (const std::exception&) {
    aClient.close();
  }
  Complete(result);
}

void
AsyncCaller::Complete(const CallResult& aResult)
{
  // The handler may start the next call, which sets a new one.
  const OnResult onResult = std::move(mOnResult);
  onResult(aResult);
}

}
