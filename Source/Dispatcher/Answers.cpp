#include "Dispatcher/Answers.h"

#include <algorithm>
#include <array>

#include "Dispatcher/Intake.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

constexpr Duration kOverloadedRetryDelay = std::chrono::milliseconds(100);

/// The result code and outcome that a server's status maps to.
struct StatusMeaning
{
  ServerStatus mStatus;
  ResultCode mCode;
  Outcome mOutcome;
};

constexpr std::array kStatusMeanings{
  StatusMeaning{ ServerStatus::Ok, ResultCode::Ok, Outcome::Done },
  StatusMeaning{ ServerStatus::Replayed, ResultCode::Replayed, Outcome::Done },
  StatusMeaning{ ServerStatus::StatementFailed,
                 ResultCode::StatementFailed,
                 Outcome::NotRun },
  StatusMeaning{ ServerStatus::NotPrimary,
                 ResultCode::PrimaryChanged,
                 Outcome::NotRun },
  StatusMeaning{ ServerStatus::WrongTerm,
                 ResultCode::PrimaryChanged,
                 Outcome::NotRun },
  StatusMeaning{ ServerStatus::Behind,
                 ResultCode::ReplicaBehind,
                 Outcome::NotRun },
  StatusMeaning{ ServerStatus::Busy, ResultCode::Overloaded, Outcome::NotRun },
  StatusMeaning{ ServerStatus::AccessViolation,
                 ResultCode::AccessViolation,
                 Outcome::NotRun },
  StatusMeaning{ ServerStatus::UnknownKey,
                 ResultCode::UnknownKey,
                 Outcome::Done },
  StatusMeaning{ ServerStatus::TooManyConnections,
                 ResultCode::Overloaded,
                 Outcome::NotRun },
  StatusMeaning{ ServerStatus::NoTransaction,
                 ResultCode::TransactionAborted,
                 Outcome::NotRun },
  StatusMeaning{ ServerStatus::Malformed,
                 ResultCode::MalformedRequest,
                 Outcome::NotRun },
};

const StatusMeaning&
MeaningOf(ServerStatus aStatus)
{
  const auto it = std::find_if(
    kStatusMeanings.begin(),
    kStatusMeanings.end(),
    [aStatus](const StatusMeaning& aRow) { return aRow.mStatus == aStatus; });
  return it == kStatusMeanings.end() ? kStatusMeanings.back() : *it;
}

}

ServerView
ViewFor(const ServerDispatch& aDispatch, ServerId aServer, Instant aAskedAt)
{
  if (!aDispatch.mSample) {
    ServerView none;
    none.mServer = aServer;
    return none;
  }
  ServerView view = aDispatch.mSample->mView;
  view.mAge =
    std::max(Duration{ 0 }, aAskedAt - aDispatch.mSample->mRequestedAt);
  return view;
}

void
Answer(Context& aContext,
       const ServerDispatch& aDispatch,
       const QueuedRequest& aQueued,
       ForwardAnswer aAnswer)
{
  aAnswer.mId = aQueued.mRequest.mId;
  aAnswer.mAttempt = aQueued.mRequest.mAttempt;
  aAnswer.mView =
    ViewFor(aDispatch, aQueued.mRequest.mServer, aQueued.mArrivedAt);
  aAnswer.mView.mIntake =
    IntakeOf(aDispatch, aContext.mState.mConfiguration.mCurrent);
  SendTo(aContext, aQueued.mOrigin, std::move(aAnswer));
}

void
AnswerFailure(Context& aContext,
              const ServerDispatch& aDispatch,
              const QueuedRequest& aQueued,
              ResultCode aCode,
              Outcome aOutcome)
{
  ForwardAnswer answer;
  answer.mCode = aCode;
  answer.mOutcome = aOutcome;
  if (aCode == ResultCode::Overloaded) {
    answer.mRetryAfter = kOverloadedRetryDelay;
  }
  Answer(aContext, aDispatch, aQueued, std::move(answer));
}

ForwardAnswer
MakeAnswer(const ServerReply& aReply)
{
  const StatusMeaning& meaning = MeaningOf(aReply.mStatus);
  ForwardAnswer answer;
  answer.mCode = meaning.mCode;
  answer.mOutcome = meaning.mOutcome;
  answer.mResult = aReply.mResult;
  answer.mPosition = aReply.mApplied;
  return answer;
}

}
