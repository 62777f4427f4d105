#include "Load/HttpCaller.h"

#include <exception>
#include <sstream>

#include <cxxtools/json.h>
#include <cxxtools/serializationinfo.h>

#include "Wire/JsonText.h"

namespace camphorstep {

namespace {

const cxxtools::Milliseconds kTimeout(30'000.0);

void
AddText(cxxtools::SerializationInfo& aInfo,
        const char* aName,
        const std::string& aValue)
{
  if (!aValue.empty()) {
    aInfo.addMember(aName) <<= aValue;
  }
}

}

// Found by argument-dependent lookup, so not in the anonymous namespace.
static void
operator<<=(cxxtools::SerializationInfo& aInfo, const Call& aCall)
{
  AddText(aInfo, "database", aCall.mDatabase);
  AddText(aInfo, "text", aCall.mText);
  aInfo.addMember("access") <<= std::string(aCall.mWrite ? "write" : "read");
  aInfo.addMember("idempotent") <<= aCall.mIdempotent;
  AddText(aInfo, "key", aCall.mKey);
  AddText(aInfo, "session", aCall.mSession);
  AddText(aInfo, "transaction", aCall.mTransaction);
  if (aCall.mDeadlineMs > 0) {
    aInfo.addMember("deadline_ms") <<= aCall.mDeadlineMs;
  }
}

void
FillRequest(cxxtools::http::Request& aRequest,
            const Call& aCall,
            const std::string& aToken)
{
  aRequest.method("POST");
  aRequest.setHeader("Authorization", ("Bearer " + aToken).c_str());
  aRequest.body() << cxxtools::Json(aCall);
}

CallResult
ParseCallResult(const std::string& aBody)
{
  const cxxtools::SerializationInfo info = ParseJsonObject(aBody);
  CallResult result;
  result.mAnswered = true;
  info.getMember("code", result.mCode);
  info.getMember("outcome", result.mOutcome);
  info.getMember("result", result.mResult);
  info.getMember("session", result.mSession);
  info.getMember("transaction", result.mTransaction);
  info.getMember("server", result.mServer);
  info.getMember("replica", result.mReplica);
  info.getMember("retry_after_ms", result.mRetryAfterMs);
  return result;
}

HttpCaller::HttpCaller(const Address& aProxy, std::string aToken)
  : mClient(aProxy.mIp, aProxy.mPort)
  , mToken(std::move(aToken))
{
}

CallResult
HttpCaller::Execute(const Call& aCall)
{
  try {
    cxxtools::http::Request request(aCall.mPath);
    FillRequest(request, aCall, mToken);
    mClient.execute(request, kTimeout, kTimeout);
    return ParseCallResult(mClient.readBody().body());
  } catch (const std::exception&) {
    mClient.close();
    return CallResult{};
  }
}

}
