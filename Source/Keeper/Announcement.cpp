#include "Keeper/Announcement.h"

#include "Entry/Views.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

void
AnnouncePrimary(Context& aContext, ServerId aServer, const ServerReply& aReply)
{
  PrimaryNotice notice;
  notice.mView.mServer = aServer;
  notice.mView.mTerm = aReply.mTerm;
  notice.mView.mRole = aReply.mRole;
  notice.mView.mApplied = aReply.mApplied;
  notice.mView.mTermStarts = aReply.mTermStarts;
  for (const auto& [host, peer] : aContext.mState.mMembership.mPeers) {
    if (peer.mConnected) {
      SendTo(aContext, host, notice);
    }
  }
  HandlePrimaryNotice(aContext, notice);
}

void
HandlePrimaryNotice(Context& aContext, const PrimaryNotice& aNotice)
{
  const auto& servers = aContext.mState.mEntry.mServers;
  const auto known = servers.find(aNotice.mView.mServer);
  if (known != servers.end() &&
      known->second.mView.mTerm > aNotice.mView.mTerm) {
    return;
  }
  // The notice carries no sample time, so the time of the known view is kept
  // rather than making the view appear fresher.
  const Instant sampledAt =
    known == servers.end() ? Instant{} : known->second.mSampledAt;
  ApplyView(aContext, aNotice.mView, sampledAt);
}

}
