#include "Dispatcher/Probing.h"

#include "Dispatcher/Answers.h"
#include "Dispatcher/ConnectionPool.h"
#include "Dispatcher/Intake.h"
#include "Dispatcher/Liveness.h"
#include "Keeper/Keeper.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

constexpr Duration kProbeInterval = std::chrono::milliseconds(50);
/// The interval while reads wait until the server has applied their position.
constexpr Duration kCatchUpProbeInterval = std::chrono::milliseconds(5);

}

void
UpdateSample(ServerDispatch& aDispatch,
             ServerId aServer,
             const ServerReply& aReply,
             Instant aRequestedAt)
{
  if (aDispatch.mSample && aDispatch.mSample->mRequestedAt > aRequestedAt) {
    return;
  }
  ServerSample sample;
  sample.mRequestedAt = aRequestedAt;
  sample.mView.mServer = aServer;
  sample.mView.mTerm = aReply.mTerm;
  sample.mView.mRole = aReply.mRole;
  sample.mView.mApplied = aReply.mApplied;
  sample.mView.mTermStarts = aReply.mTermStarts.empty() && aDispatch.mSample
                               ? aDispatch.mSample->mView.mTermStarts
                               : aReply.mTermStarts;
  aDispatch.mSample = std::move(sample);
}

void
Probe(Context& aContext, ServerDispatch& aDispatch)
{
  const auto it = aDispatch.mConnections.find(aDispatch.mControlConnection);
  const Duration interval = aDispatch.mScheduler.mAwaitingPosition.empty()
                              ? kProbeInterval
                              : kCatchUpProbeInterval;
  if (it == aDispatch.mConnections.end() ||
      it->second.mPhase != ConnectionPhase::Idle ||
      aContext.mNow - aDispatch.mLastProbeSentAt < interval) {
    return;
  }
  aDispatch.mLastProbeSentAt = aContext.mNow;
  SendProbe(aContext, it->first, it->second);
}

void
HandleProbeReply(Context& aContext,
                 ServerDispatch& aDispatch,
                 ConnectionId aId,
                 const ServerReply& aReply)
{
  ServerConnection& connection = aDispatch.mConnections.at(aId);
  connection.mProbe = RequestId{};
  if (aReply.mStatus != ServerStatus::Ok) {
    if (connection.mPhase == ConnectionPhase::Opening) {
      NoteFailedOpening(aContext, aDispatch);
    }
    DropConnection(aContext, aDispatch, aId);
    return;
  }
  NoteConnectionReply(aContext, aDispatch, connection, connection.mProbeSentAt);
  UpdateSample(aDispatch, connection.mServer, aReply, connection.mProbeSentAt);
  NoteServerReply(
    aContext, connection.mServer, aReply, connection.mProbeSentAt);
  if (connection.mPhase == ConnectionPhase::Opening) {
    aDispatch.mFailedOpenings = 0;
  }
  if (connection.mTransaction == TransactionId{}) {
    EnterPhase(aContext, connection, ConnectionPhase::Idle);
  }
}

void
HandleViewRequest(Context& aContext, HostId aFrom, const ViewRequest& aRequest)
{
  State& state = aContext.mState;
  if (state.mTopology.FindServer(aRequest.mServer) == nullptr) {
    return;
  }
  ServerDispatch& dispatch = state.mDispatcher.mServers[aRequest.mServer];
  dispatch.mLastUsed = aContext.mNow;
  if (!dispatch.mSample) {
    return;
  }
  ViewReply reply{ aRequest.mId,
                   ViewFor(dispatch, aRequest.mServer, aContext.mNow) };
  reply.mView.mIntake = IntakeOf(dispatch, state.mConfiguration.mCurrent);
  SendTo(aContext, aFrom, std::move(reply));
}

}
