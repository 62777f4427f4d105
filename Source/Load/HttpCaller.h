#pragma once

#include <string>

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include "Common/Time.h"
#include "Model/ResultCode.h"
#include "Model/Topology.h"

namespace camphorstep {

/// The fields of a call that scenarios use.
struct Call
{
  std::string mPath = "/v1/run";
  std::string mDatabase;
  std::string mText;
  bool mWrite = false;
  bool mIdempotent = false;
  std::string mKey;
  std::string mSession;
  std::string mTransaction;
  std::int64_t mDeadlineMs = 0;
};

/// What came back.
struct CallResult
{
  /// Whether an answer came at all.
  bool mAnswered = false;
  unsigned mCode = 0;
  std::string mOutcome;
  std::string mResult;
  std::string mSession;
  std::string mTransaction;
  /// The backend server that ran the request.
  std::string mServer;
  bool mReplica = false;
  std::int64_t mRetryAfterMs = 0;
};

/// Writes a call into an HTTP request, whose path must be that of the call.
void FillRequest(cxxtools::http::Request& aRequest,
                 const Call& aCall,
                 const std::string& aToken);

/// Reads the body of an answer. Throws std::exception if it is malformed.
CallResult ParseCallResult(const std::string& aBody);

/// A caller that keeps one HTTP connection to a proxy.
class HttpCaller
{
public:
  HttpCaller(const Address& aProxy, std::string aToken);

  /// Makes a call and waits for the answer.
  CallResult Execute(const Call& aCall);

private:
  cxxtools::http::Client mClient;
  std::string mToken;
};

}
