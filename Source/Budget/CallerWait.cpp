#include "Budget/CallerWait.h"

namespace camphorstep {

namespace {

void
Update(std::optional<Instant>& aSince, bool aIsUnfinished, Instant aNow)
{
  if (!aIsUnfinished) {
    aSince.reset();
  } else if (!aSince) {
    aSince = aNow;
  }
}

bool
IsOver(const std::optional<Instant>& aSince, Duration aTimeout, Instant aNow)
{
  return aSince && aNow - *aSince >= aTimeout;
}

}

bool
IsFinished(const CallerProgress& aProgress)
{
  return aProgress.mIsOpen && !aProgress.mHasPartialMessage &&
         !aProgress.mHasUnreadAnswer;
}

void
UpdateWait(CallerWait& aWait, const CallerProgress& aProgress, Instant aNow)
{
  Update(aWait.mOpeningSince, !aProgress.mIsOpen, aNow);
  Update(aWait.mMessageSince, aProgress.mHasPartialMessage, aNow);
  Update(aWait.mAnswerSince, aProgress.mHasUnreadAnswer, aNow);
}

OverdueCaller
FindOverdue(const CallerWait& aWait,
            const CallerTimeouts& aTimeouts,
            Instant aNow)
{
  if (IsOver(aWait.mOpeningSince, aTimeouts.mOpening, aNow)) {
    return OverdueCaller::Opening;
  }
  if (IsOver(aWait.mMessageSince, aTimeouts.mMessage, aNow)) {
    return OverdueCaller::Message;
  }
  if (IsOver(aWait.mAnswerSince, aTimeouts.mAnswer, aNow)) {
    return OverdueCaller::Answer;
  }
  return OverdueCaller::None;
}

}
