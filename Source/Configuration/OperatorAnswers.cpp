#include "Configuration/OperatorAnswers.h"

#include <utility>

#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

void
AnswerTo(Context& aContext, OperatorCallId aCall, OperatorAnswer aAnswer)
{
  aAnswer.mCall = aCall;
  Emit(aContext, AnswerOperator{ std::move(aAnswer) });
}

AuditRecord
MakeAudit(const State& aState,
          const OperatorRequest& aRequest,
          std::string aAction,
          std::string aReason)
{
  AuditRecord record;
  record.mTime = aRequest.mTime;
  record.mAuthor = aRequest.mOperator;
  record.mAction = std::move(aAction);
  record.mReason = std::move(aReason);
  const Host* const host = aState.mTopology.FindHost(aState.mSelf);
  record.mHost = host == nullptr ? "" : host->mName;
  return record;
}

}
