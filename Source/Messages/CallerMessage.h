#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "Common/Time.h"
#include "Model/Ids.h"
#include "Model/ResultCode.h"

namespace camphorstep {

enum class CallerOperation : std::uint8_t
{
  Run,
  Begin,
  Commit,
  Rollback,
  /// Asks for the recorded result of an idempotency key.
  Lookup
};

/// A checked and authenticated request of a caller.
struct CallerRequest
{
  CallId mCall;
  CallerOperation mOperation = CallerOperation::Run;
  std::string mService;
  std::string mDatabase;
  std::string mText;
  bool mWrite = false;
  bool mIdempotent = false;
  std::string mKey;
  std::optional<Duration> mDeadline;
  std::string mSessionToken;
  /// Sealed handle of an open transaction, or empty.
  std::string mTransaction;
};

/// What the refusal of a call for load depends on.
struct CallClass
{
  std::string mService;
  std::string mDatabase;
  bool mNeedsPrimary = false;

  auto operator<=>(const CallClass&) const = default;
};

inline CallClass
ClassOf(const CallerRequest& aRequest)
{
  const bool isRead =
    aRequest.mOperation == CallerOperation::Run && !aRequest.mWrite;
  return { aRequest.mService, aRequest.mDatabase, !isRead };
}

/// The answer to a caller.
struct CallerAnswer
{
  CallId mCall;
  ResultCode mCode = ResultCode::Ok;
  Outcome mOutcome = Outcome::Done;
  std::string mResult;
  std::string mSessionToken;
  std::string mTransaction;
  std::string mServer;
  bool mFromReplica = false;
  Duration mRetryAfter{ 0 };
  /// The answer must not leave the host after this time; what goes out in
  /// its place is LeaseExpired with the outcome "unknown".
  Instant mValidUntil = Instant::max();
};

}
