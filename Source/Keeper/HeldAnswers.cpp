#include "Keeper/HeldAnswers.h"

#include <utility>

#include "Dispatcher/Answers.h"
#include "Keeper/Lease.h"
#include "Keeper/Links.h"
#include "Keeper/Watching.h"
#include "Reducer/Context.h"
#include "Reducer/SeededFaults.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// Whether an answer is valid only while the primary holds its lease.
bool
NeedsLease(const ForwardRequest& aRequest, const ForwardAnswer& aAnswer)
{
  switch (aRequest.mOperation) {
    case ServerOperation::Run:
    case ServerOperation::Commit:
    case ServerOperation::Lookup:
      return aRequest.mNeedsPrimary && aAnswer.mOutcome == Outcome::Done;
    default:
      return false;
  }
}

/// Whether an answer acknowledges a write that must not be lost.
bool
NeedsReplication(const ForwardRequest& aRequest, const ServerReply& aReply)
{
  if (aRequest.mDurability != Durability::Replicated ||
      IsSeeded(SeededFault::SkipReplication)) {
    return false;
  }
  const bool inTransaction = aRequest.mTransaction != TransactionId{};
  switch (aRequest.mOperation) {
    case ServerOperation::Run:
      return aRequest.mWrite && !inTransaction;
    case ServerOperation::Commit:
      return true;
    case ServerOperation::Lookup:
      return aReply.mStatus == ServerStatus::Replayed;
    default:
      return false;
  }
}

/// Fails a held answer with Outcome::Unknown: its request has run on the
/// primary, but whether its effects persist is not known.
void
FailHeldAnswer(Context& aContext, const HeldAnswer& aHeld, ResultCode aCode)
{
  const auto& servers = aContext.mState.mDispatcher.mServers;
  const auto it = servers.find(aHeld.mServer);
  const ServerDispatch none;
  AnswerFailure(aContext,
                it == servers.end() ? none : it->second,
                aHeld.mQueued,
                aCode,
                Outcome::Unknown);
}

void
SendHeldAnswer(Context& aContext, const HeldAnswer& aHeld, Instant aValidUntil)
{
  ForwardAnswer answer = aHeld.mAnswer;
  if (!IsSeeded(SeededFault::SkipLastLook)) {
    answer.mValidFor = aValidUntil - aHeld.mQueued.mArrivedAt;
  }
  Answer(aContext,
         aContext.mState.mDispatcher.mServers.at(aHeld.mServer),
         aHeld.mQueued,
         std::move(answer));
}

/// Sends or fails a held answer if its outcome can be decided now. Returns
/// whether it was.
bool
TryCompleteHeldAnswer(Context& aContext,
                      DatabaseId aDatabase,
                      const Group& aGroup,
                      const HeldAnswer& aHeld)
{
  const State& state = aContext.mState;
  const Instant until =
    IsSeeded(SeededFault::SkipLeaseCheck)
      ? aContext.mNow + std::chrono::hours(1)
      : LeaseUntil(state, aDatabase, aHeld.mServer, aHeld.mTerm);
  const bool replicated =
    !aHeld.mNeedsReplication ||
    IsReplicated(state, aDatabase, aHeld.mServer, aHeld.mAnswer.mPosition);
  if (aContext.mNow < until && replicated) {
    SendHeldAnswer(aContext, aHeld, until);
    return true;
  }
  if (aGroup.mTerm > aHeld.mTerm) {
    FailHeldAnswer(aContext, aHeld, ResultCode::PrimaryChanged);
    return true;
  }
  if (aContext.mNow >= aHeld.mQueued.mDeadline) {
    FailHeldAnswer(aContext,
                   aHeld,
                   replicated ? ResultCode::LeaseExpired
                              : ResultCode::NotReplicated);
    return true;
  }
  return false;
}

}

void
AnswerWhenSafe(Context& aContext,
               const ServerDispatch& aDispatch,
               const QueuedRequest& aQueued,
               const ServerReply& aReply)
{
  const ForwardRequest& request = aQueued.mRequest;
  ForwardAnswer answer = MakeAnswer(aReply);
  if (!NeedsLease(request, answer)) {
    Answer(aContext, aDispatch, aQueued, std::move(answer));
    return;
  }
  if (aReply.mRole != ServerRole::Primary) {
    AnswerFailure(aContext,
                  aDispatch,
                  aQueued,
                  ResultCode::PrimaryChanged,
                  Outcome::Unknown);
    return;
  }
  const DatabaseId database =
    aContext.mState.mTopology.FindServer(request.mServer)->mDatabase;
  NoteLeaseWanted(aContext, database);
  Group& group = GroupOf(aContext, database);
  group.mHeldAnswers.push_back({ aQueued,
                                 std::move(answer),
                                 request.mServer,
                                 aReply.mTerm,
                                 NeedsReplication(request, aReply) });
  CompleteHeldAnswers(aContext, database, group);
  if (!group.mHeldAnswers.empty()) {
    MaintainWatches(aContext, database, group);
  }
}

void
CompleteHeldAnswers(Context& aContext, DatabaseId aDatabase, Group& aGroup)
{
  std::erase_if(aGroup.mHeldAnswers, [&](const HeldAnswer& aHeld) {
    return TryCompleteHeldAnswer(aContext, aDatabase, aGroup, aHeld);
  });
}

}
