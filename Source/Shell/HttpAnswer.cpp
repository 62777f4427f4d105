#include "Shell/HttpAnswer.h"

#include <ostream>
#include <string_view>

#include <cxxtools/json.h>
#include <cxxtools/serializationinfo.h>

namespace camphorstep {

// Found by argument-dependent lookup, so not in the anonymous namespace.
/// The JSON form of an answer; empty parts are left out.
static void
operator<<=(cxxtools::SerializationInfo& aInfo, const CallerAnswer& aAnswer)
{
  aInfo.addMember("code") <<= static_cast<unsigned>(aAnswer.mCode);
  aInfo.addMember("name") <<= std::string(NameOf(aAnswer.mCode));
  aInfo.addMember("outcome") <<= std::string(NameOf(aAnswer.mOutcome));
  aInfo.addMember("result") <<= aAnswer.mResult;
  if (!aAnswer.mSessionToken.empty()) {
    aInfo.addMember("session") <<= aAnswer.mSessionToken;
  }
  if (!aAnswer.mTransaction.empty()) {
    aInfo.addMember("transaction") <<= aAnswer.mTransaction;
  }
  if (!aAnswer.mServer.empty()) {
    aInfo.addMember("server") <<= aAnswer.mServer;
    aInfo.addMember("replica") <<= aAnswer.mFromReplica;
  }
  if (aAnswer.mRetryAfter.count() > 0) {
    aInfo.addMember("retry_after_ms") <<=
      std::chrono::duration_cast<std::chrono::milliseconds>(aAnswer.mRetryAfter)
        .count();
  }
}

namespace {

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpBadRequest = 400;
constexpr unsigned kHttpUnauthorized = 401;
constexpr unsigned kHttpNotFound = 404;
constexpr unsigned kHttpWrongMethod = 405;
constexpr unsigned kHttpConflict = 409;
constexpr unsigned kHttpTooLarge = 413;
constexpr unsigned kHttpUnavailable = 503;

/// Codes are grouped by hundreds.
constexpr unsigned kCodesPerGroup = 100;

}

void
WriteAnswer(std::ostream& aOut,
            cxxtools::http::Reply& aReply,
            const CallerAnswer& aAnswer)
{
  const unsigned status = HttpStatusOf(aAnswer.mCode);
  aReply.httpReturn(status, std::string(NameOf(aAnswer.mCode)));
  aReply.setHeader("Content-Type", "application/json");
  aOut << cxxtools::Json(aAnswer);
}

CallerAnswer
RefusalOf(ResultCode aCode, std::string aResult)
{
  CallerAnswer answer;
  answer.mCode = aCode;
  answer.mOutcome = Outcome::NotRun;
  answer.mResult = std::move(aResult);
  return answer;
}

std::string
BearerToken(const cxxtools::http::Request& aRequest)
{
  constexpr std::string_view kScheme = "Bearer ";
  const char* const header = aRequest.getHeader("Authorization");
  const std::string_view value = header == nullptr ? "" : header;
  return value.starts_with(kScheme) ? std::string(value.substr(kScheme.size()))
                                    : std::string();
}

unsigned
HttpStatusOf(ResultCode aCode)
{
  if (aCode == ResultCode::Unauthenticated) {
    return kHttpUnauthorized;
  }
  if (aCode == ResultCode::RequestTooLarge) {
    return kHttpTooLarge;
  }
  if (aCode == ResultCode::UnknownPath) {
    return kHttpNotFound;
  }
  if (aCode == ResultCode::WrongMethod) {
    return kHttpWrongMethod;
  }
  switch (static_cast<unsigned>(aCode) / kCodesPerGroup) {
    case 0:
      return kHttpOk;
    case 1:
    case 6:
      return kHttpBadRequest;
    case 3:
    case 5:
      return kHttpConflict;
    default:
      return kHttpUnavailable;
  }
}

}
