#include "Keeper/SwitchOver.h"

#include <algorithm>
#include <utility>

#include "Dispatcher/Answers.h"
#include "Dispatcher/Dispatcher.h"
#include "Dispatcher/Queue.h"
#include "Keeper/Links.h"
#include "Keeper/Promotion.h"
#include "Keeper/Watching.h"
#include "Membership/Membership.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// How long open transactions may take to end before the change is abandoned.
constexpr Duration kDrainTimeout = std::chrono::seconds(30);
/// How long requests may wait for a replica to catch up.
constexpr Duration kCatchUpTimeout = std::chrono::milliseconds(500);
/// The most requests that wait for a planned change.
constexpr std::size_t kMaxParked = 1'000;

void
EnterPhase(const Context& aContext,
           SwitchOver& aSwitchOver,
           SwitchOverPhase aPhase)
{
  aSwitchOver.mPhase = aPhase;
  aSwitchOver.mPhaseStartedAt = aContext.mNow;
}

/// Ends the change and answers the parked requests with PrimaryChanged and
/// Outcome::NotRun.
void
EndSwitchOver(Context& aContext,
              DatabaseId aDatabase,
              Group& aGroup,
              const char* aResult)
{
  const std::deque<QueuedRequest> parked =
    std::move(aGroup.mSwitchOver->mParked);
  const Duration elapsed = aContext.mNow - aGroup.mSwitchOver->mStartedAt;
  aGroup.mSwitchOver.reset();
  const Topology& topology = aContext.mState.mTopology;
  LogRecord(aContext,
            LogSeverity::Info,
            "planned change of primary ended",
            { { "database", topology.FindDatabase(aDatabase)->mName },
              { "result", aResult },
              { "ms", std::to_string(elapsed.count() / 1'000) } });
  for (const QueuedRequest& queued : parked) {
    const ServerId server = queued.mRequest.mServer;
    AnswerFailure(aContext,
                  aContext.mState.mDispatcher.mServers[server],
                  queued,
                  ResultCode::PrimaryChanged,
                  Outcome::NotRun);
  }
}

void
RefuseExpired(Context& aContext, SwitchOver& aSwitchOver)
{
  std::erase_if(aSwitchOver.mParked, [&](const QueuedRequest& aQueued) {
    if (aQueued.mDeadline > aContext.mNow) {
      return false;
    }
    AnswerFailure(
      aContext,
      aContext.mState.mDispatcher.mServers[aQueued.mRequest.mServer],
      aQueued,
      ResultCode::DeadlineExceeded,
      Outcome::NotRun);
    return true;
  });
}

/// Whether no request is queued or running at the leaving server.
bool
IsDispatchIdle(const ServerDispatch& aDispatch)
{
  return aDispatch.mRunning == 0 && IsQueueEmpty(aDispatch);
}

/// Whether another server is known to hold the primary's whole log.
bool
HasCaughtUp(const Group& aGroup, ServerId aLeaving)
{
  const auto primary = aGroup.mEvidence.find(aLeaving);
  return primary != aGroup.mEvidence.end() &&
         std::any_of(aGroup.mEvidence.begin(),
                     aGroup.mEvidence.end(),
                     [&](const auto& aItem) {
                       return aItem.first != aLeaving &&
                              aItem.second.mTerm == aGroup.mTerm &&
                              aItem.second.mLogged == primary->second.mLogged;
                     });
}

void
AdvanceCatchUp(Context& aContext, DatabaseId aDatabase, Group& aGroup)
{
  SwitchOver& change = *aGroup.mSwitchOver;
  const ServerDispatch& dispatch =
    aContext.mState.mDispatcher.mServers[change.mLeaving];
  const bool idle = IsDispatchIdle(dispatch) && aGroup.mHeldAnswers.empty();
  if (idle && HasCaughtUp(aGroup, change.mLeaving)) {
    EnterPhase(aContext, change, SwitchOverPhase::Promoting);
    StartPromotion(aContext, aDatabase, aGroup, change.mLeaving, true);
    return;
  }
  if (aContext.mNow - change.mPhaseStartedAt > kCatchUpTimeout) {
    EndSwitchOver(aContext, aDatabase, aGroup, "no replica caught up");
  }
}

}

void
HandleServerLeaving(Context& aContext, const ServerLeaving& aEvent)
{
  const std::optional<HostId> host =
    DispatcherOf(aContext.mState, aEvent.mServer);
  if (host) {
    SendTo(aContext, *host, SwitchOverRequest{ aEvent.mServer });
  }
}

void
HandleSwitchOverRequest(Context& aContext, const SwitchOverRequest& aMessage)
{
  const Server* const server =
    aContext.mState.mTopology.FindServer(aMessage.mServer);
  if (server == nullptr) {
    return;
  }
  Group& group = GroupOf(aContext, server->mDatabase);
  if (group.mPrimary != aMessage.mServer || group.mSwitchOver ||
      group.mPromotion) {
    return;
  }
  NoteLeaseWanted(aContext, server->mDatabase);
  SwitchOver change;
  change.mLeaving = aMessage.mServer;
  change.mStartedAt = aContext.mNow;
  change.mPhaseStartedAt = aContext.mNow;
  group.mSwitchOver = std::move(change);
  LogRecord(aContext,
            LogSeverity::Info,
            "planned change of primary begins",
            { { "leaving", server->mName } });
}

bool
Park(Context& aContext, const QueuedRequest& aQueued)
{
  const ForwardRequest& request = aQueued.mRequest;
  const Server* const server =
    aContext.mState.mTopology.FindServer(request.mServer);
  Group& group = GroupOf(aContext, server->mDatabase);
  const bool concerned = group.mSwitchOver &&
                         group.mSwitchOver->mLeaving == request.mServer &&
                         request.mTransaction == TransactionId{};
  if (!concerned || group.mSwitchOver->mParked.size() >= kMaxParked) {
    return false;
  }
  const bool waits = group.mSwitchOver->mPhase != SwitchOverPhase::Draining ||
                     request.mOperation == ServerOperation::Begin;
  if (waits) {
    group.mSwitchOver->mParked.push_back(aQueued);
  }
  return waits;
}

void
AdvanceSwitchOver(Context& aContext, DatabaseId aDatabase, Group& aGroup)
{
  if (!aGroup.mSwitchOver) {
    return;
  }
  SwitchOver& change = *aGroup.mSwitchOver;
  NoteLeaseWanted(aContext, aDatabase);
  RefuseExpired(aContext, change);
  const Duration elapsed = aContext.mNow - change.mPhaseStartedAt;
  switch (change.mPhase) {
    case SwitchOverPhase::Draining: {
      const auto& servers = aContext.mState.mDispatcher.mServers;
      const auto it = servers.find(change.mLeaving);
      if (it == servers.end() || it->second.mTransactions.empty()) {
        EnterPhase(aContext, change, SwitchOverPhase::CatchingUp);
      } else if (elapsed > kDrainTimeout) {
        EndSwitchOver(aContext, aDatabase, aGroup, "transactions stay open");
      }
      return;
    }
    case SwitchOverPhase::CatchingUp:
      AdvanceCatchUp(aContext, aDatabase, aGroup);
      return;
    case SwitchOverPhase::Promoting:
      if (aGroup.mPrimary && aGroup.mPrimary != change.mLeaving) {
        EndSwitchOver(aContext, aDatabase, aGroup, "done");
      } else if (!aGroup.mPromotion) {
        EndSwitchOver(aContext, aDatabase, aGroup, "no server could take over");
      }
      return;
  }
}

}
