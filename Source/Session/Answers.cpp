#include "Session/Answers.h"

#include <algorithm>
#include <array>

#include "Gateway/Tuning.h"
#include "Session/Routing.h"

namespace camphorstep::gateway {

namespace {

/// One in this many successful statements is logged.
constexpr std::uint64_t kSuccessLogInterval = 128;
/// One in this many refusals of operations over a limit is logged.
constexpr std::uint64_t kOverLimitLogInterval = 64;
/// The codes with which a failed attempt has had no lasting effect.
constexpr std::array kCodesWithoutEffect{
  ResultCode::Overloaded,         ResultCode::TransactionAborted,
  ResultCode::ReplicaBehind,      ResultCode::PrimaryChanged,
  ResultCode::NoPrimary,          ResultCode::Stopping,
  ResultCode::TooManyConnections, ResultCode::RateLimited,
  ResultCode::ConfigurationStale,
};

Rank
RankOf(const ActiveStatement& aActive)
{
  return kRanks[std::min<std::size_t>(aActive.mPlace.mUrgency, kRankCount - 1)];
}

/// Appends log values on the load of a server, as known to this host.
void
DescribeServer(const Context& aContext,
               const Backend& aServer,
               std::vector<LogValue>& aValues)
{
  aValues.push_back({ "server", aServer.mEntry.mName });
  aValues.push_back({ "running", std::to_string(aServer.mRunning) });
  aValues.push_back({ "queued", std::to_string(aServer.mQueue.size()) });
  aValues.push_back({ "connections", std::to_string(aServer.mLinks.size()) });
  if (aServer.mStatus) {
    aValues.push_back(
      { "busy_slots", std::to_string(aServer.mStatus->mBusySlots) });
    aValues.push_back(
      { "all_connections", std::to_string(aServer.mStatus->mConnections) });
    aValues.push_back({ "status_age_ms",
                        Milliseconds(aContext.mNow - aServer.mStatusAskedAt) });
  }
}

/// Returns the log values of a statement: its session, route, attempts, age and
/// server.
std::vector<LogValue>
Describe(const Context& aContext,
         const Session& aSession,
         const ActiveStatement& aActive)
{
  const Backend* const server =
    Find(aContext.mState.mBackends, aActive.mServer);
  const Route* const route = RouteOf(aContext, aSession);
  std::vector<LogValue> values{
    { "request", aActive.mStatement.mId },
    { "session", std::to_string(aSession.mId.mValue) },
    { "database", aSession.mDatabase },
    { "group", route == nullptr ? "" : route->mGroup },
    { "urgency", std::to_string(aActive.mPlace.mUrgency) },
    { "attempts", std::to_string(aActive.mAttempts) },
    { "age_ms", Milliseconds(aContext.mNow - aActive.mArrivedAt) },
    { "configuration",
      std::to_string(aContext.mState.mCatalogue.mRoutingVersion) },
  };
  if (server != nullptr) {
    DescribeServer(aContext, *server, values);
  }
  return values;
}

void
EndActive(Context& aContext, Session& aSession)
{
  aContext.mState.mTimers.Cancel(TimerKind::Statement, aSession.mId.mValue);
  aContext.mState.mTimers.Cancel(TimerKind::Retry, aSession.mId.mValue);
  aSession.mActive.reset();
}

void
CountOutcome(StatementCounters& aCounters, ResultCode aCode)
{
  if (aCode == ResultCode::ConnectionLost ||
      aCode == ResultCode::DeadlineExceeded) {
    ++aCounters.mUnknown;
  } else if (HasNoEffect(aCode)) {
    ++aCounters.mNotRun;
  } else {
    ++aCounters.mFailed;
  }
}

}

bool
HasNoEffect(ResultCode aCode)
{
  return std::find(kCodesWithoutEffect.begin(),
                   kCodesWithoutEffect.end(),
                   aCode) != kCodesWithoutEffect.end();
}

void
AnswerOk(Context& aContext, Session& aSession)
{
  AnswerCaller answer;
  answer.mSession = aSession.mId;
  answer.mState = aSession.mTransaction.mState;
  Emit(aContext, answer);
}

void
AnswerError(Context& aContext,
            Session& aSession,
            const std::string& aRequest,
            ResultCode aCode,
            const std::string& aText)
{
  LogRefusal(aContext,
             "statement refused",
             { { "request", aRequest },
               { "session", std::to_string(aSession.mId.mValue) },
               { "database", aSession.mDatabase },
               { "code", std::string(NameOf(aCode)) },
               { "reason", aText } });
  AnswerCaller answer;
  answer.mSession = aSession.mId;
  answer.mCode = aCode;
  answer.mErrorText = aText;
  answer.mState = aSession.mTransaction.mState;
  Emit(aContext, answer);
}

void
CompleteStatement(Context& aContext,
                  Session& aSession,
                  const BackendReply& aReply)
{
  const ActiveStatement& active = *aSession.mActive;
  StatementCounters& counters =
    aContext.mState.mCounters.mRanks[IndexOf(RankOf(active))];
  if (aReply.mCode == ResultCode::Ok) {
    ++counters.mServed;
    counters.mLatency.Observe(aContext.mNow - active.mArrivedAt);
    if (counters.mServed % kSuccessLogInterval == 0) {
      Log(aContext,
          LogSeverity::Info,
          "statement served",
          Describe(aContext, aSession, active));
    }
  } else {
    CountOutcome(counters, aReply.mCode);
    auto values = Describe(aContext, aSession, active);
    values.push_back({ "code", std::string(NameOf(aReply.mCode)) });
    Log(aContext,
        LogSeverity::Warning,
        "statement failed at the backend server",
        std::move(values));
  }
  AnswerCaller answer;
  answer.mSession = aSession.mId;
  answer.mCode = aReply.mCode;
  answer.mRows = aReply.mRows;
  answer.mSignature = aReply.mSignature;
  answer.mErrorText = aReply.mErrorText;
  answer.mState = aSession.mTransaction.mState;
  answer.mPosition = aReply.mPosition;
  EndActive(aContext, aSession);
  Emit(aContext, std::move(answer));
}

void
FailStatement(Context& aContext,
              Session& aSession,
              ResultCode aCode,
              const std::string& aReason)
{
  const ActiveStatement& active = *aSession.mActive;
  CountOutcome(aContext.mState.mCounters.mRanks[IndexOf(RankOf(active))],
               aCode);
  auto values = Describe(aContext, aSession, active);
  values.push_back({ "code", std::string(NameOf(aCode)) });
  values.push_back({ "reason", aReason });
  Log(aContext, LogSeverity::Warning, "statement failed", std::move(values));
  AnswerCaller answer;
  answer.mSession = aSession.mId;
  answer.mCode = aCode;
  answer.mErrorText = HasNoEffect(aCode) ? aReason + "; retry after " +
                                             Milliseconds(kRetryHint) + " ms"
                                         : aReason;
  answer.mState = aSession.mTransaction.mState;
  EndActive(aContext, aSession);
  Emit(aContext, std::move(answer));
}

void
RefuseOverLimit(Context& aContext, Session& aSession, Duration aRetryAfter)
{
  const ActiveStatement& active = *aSession.mActive;
  CountOutcome(aContext.mState.mCounters.mRanks[IndexOf(RankOf(active))],
               ResultCode::RateLimited);
  const RateLimitState& limits = aContext.mState.mRateLimits;
  const std::uint64_t refused = aContext.mState.mCounters.mRateLimits.mRefused;
  if (refused % kOverLimitLogInterval == 1) {
    const LimitedAccount* const account =
      Find(limits.mAccounts, aSession.mAccount);
    auto values = Describe(aContext, aSession, active);
    values.push_back({ "account", account == nullptr ? "" : account->mName });
    values.push_back({ "retry_after_ms", Milliseconds(aRetryAfter) });
    Log(aContext,
        LogSeverity::Info,
        "statement refused: its account is over its limit",
        std::move(values));
  }
  AnswerCaller answer;
  answer.mSession = aSession.mId;
  answer.mCode = ResultCode::RateLimited;
  answer.mErrorText = "the account is over its limit; retry after " +
                      Milliseconds(aRetryAfter) + " ms";
  answer.mState = aSession.mTransaction.mState;
  EndActive(aContext, aSession);
  Emit(aContext, std::move(answer));
}

}
