#include "Keeper/Links.h"

#include <utility>

#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

Group&
GroupOf(Context& aContext, DatabaseId aDatabase)
{
  const auto [it, isNew] =
    aContext.mState.mKeeper.mGroups.try_emplace(aDatabase);
  if (isNew) {
    it->second.mPrimaryActiveAt = aContext.mNow;
  }
  return it->second;
}

ConnectionId
OpenLink(Context& aContext, ServerId aServer, LinkPurpose aPurpose)
{
  State& state = aContext.mState;
  const ConnectionId id{ ++state.mDispatcher.mLastConnection };
  KeeperLink link;
  link.mServer = aServer;
  link.mDatabase = state.mTopology.FindServer(aServer)->mDatabase;
  link.mPurpose = aPurpose;
  link.mSentAt = aContext.mNow;
  state.mKeeper.mLinks.emplace(id, link);
  ++state.mCounters.mConnectionsOpened;
  Emit(aContext, OpenConnection{ id, aServer });
  return id;
}

void
CloseLink(Context& aContext, ConnectionId aLink)
{
  if (aContext.mState.mKeeper.mLinks.erase(aLink) > 0) {
    Emit(aContext, CloseConnection{ aLink });
  }
}

bool
IsLinkReady(const Context& aContext, ConnectionId aLink)
{
  const auto& links = aContext.mState.mKeeper.mLinks;
  const auto it = links.find(aLink);
  return it != links.end() && it->second.mHelloAnswered &&
         it->second.mPendingRequest == RequestId{};
}

bool
IsLinkOverdue(const Context& aContext, ConnectionId aLink, Duration aLimit)
{
  const auto& links = aContext.mState.mKeeper.mLinks;
  const auto it = links.find(aLink);
  if (it == links.end()) {
    return false;
  }
  const bool waits =
    !it->second.mHelloAnswered || it->second.mPendingRequest != RequestId{};
  return waits && aContext.mNow - it->second.mSentAt > aLimit;
}

void
SendRequest(Context& aContext, ConnectionId aLink, ServerRequest aRequest)
{
  KeeperLink& link = aContext.mState.mKeeper.mLinks.at(aLink);
  aRequest.mId = NewRequestId(aContext);
  link.mPendingRequest = aRequest.mId;
  link.mOperation = aRequest.mOperation;
  link.mSentAt = aContext.mNow;
  Emit(aContext, SendToServer{ aLink, std::move(aRequest) });
}

}
