#include "Reducer/Step.h"

#include <utility>

#include "Configuration/ConfigurationState.h"
#include "Configuration/Distribution.h"
#include "Configuration/Operations.h"
#include "Dispatcher/Dispatcher.h"
#include "Dispatcher/Probing.h"
#include "Dispatcher/Transactions.h"
#include "Entry/Admission.h"
#include "Entry/Entry.h"
#include "Entry/Intake.h"
#include "Entry/Views.h"
#include "Keeper/Announcement.h"
#include "Keeper/Keeper.h"
#include "Keeper/SwitchOver.h"
#include "Membership/HostList.h"
#include "Membership/Membership.h"
#include "Membership/Stopping.h"
#include "Reducer/Context.h"

namespace camphorstep {

namespace {

/// Dispatches messages between hosts to the role that handles them.
struct PeerMessageHandler
{
  Context& mContext;
  HostId mFrom;

  void operator()(const ForwardRequest& aMessage) const
  {
    HandleForwardRequest(mContext, mFrom, aMessage);
  }
  void operator()(const ForwardAnswer& aMessage) const
  {
    HandleForwardAnswer(mContext, aMessage);
  }
  void operator()(const CancelRequest& aMessage) const
  {
    HandleCancelRequest(mContext, aMessage);
  }
  void operator()(const ViewRequest& aMessage) const
  {
    HandleViewRequest(mContext, mFrom, aMessage);
  }
  void operator()(const ViewReply& aMessage) const
  {
    HandleViewReply(mContext, aMessage);
  }
  void operator()(const Heartbeat& aMessage) const
  {
    HandleHeartbeat(mContext, mFrom, aMessage);
    NotePeerVersion(mContext, mFrom);
  }
  void operator()(const ConfigurationRequest&) const
  {
    HandleConfigurationRequest(mContext, mFrom);
  }
  void operator()(const ConfigurationReply& aMessage) const
  {
    HandleConfigurationReply(mContext, aMessage);
  }
  void operator()(const SilentPeerNotice& aMessage) const
  {
    HandleSilentPeerNotice(mContext, aMessage);
  }
  void operator()(const LeavingNotice& aMessage) const
  {
    HandleLeavingNotice(mContext, mFrom, aMessage);
  }
  void operator()(const PrimaryNotice& aMessage) const
  {
    HandlePrimaryNotice(mContext, aMessage);
  }
  void operator()(const SwitchOverRequest& aMessage) const
  {
    HandleSwitchOverRequest(mContext, aMessage);
  }
};

/// Dispatches events to the roles that handle them.
struct EventHandler
{
  Context& mContext;

  void operator()(const CallerRequest& aEvent) const
  {
    HandleCallerRequest(mContext, aEvent);
  }
  void operator()(const CallerGone& aEvent) const
  {
    HandleCallerGone(mContext, aEvent);
  }
  void operator()(const PeerMessageReceived& aEvent) const
  {
    std::visit(PeerMessageHandler{ mContext, aEvent.mFrom }, aEvent.mMessage);
  }
  void operator()(const PeerConnected& aEvent) const
  {
    HandlePeerConnected(mContext, aEvent.mHost);
  }
  void operator()(const PeerDisconnected& aEvent) const
  {
    HandlePeerDisconnected(mContext, aEvent.mHost);
    AbandonTransactionsOf(mContext, aEvent.mHost);
    FailRequestsThroughHost(mContext, aEvent.mHost);
  }
  void operator()(const ServerConnected& aEvent) const
  {
    if (IsKeeperLink(mContext.mState, aEvent.mConnection)) {
      HandleKeeperConnected(mContext, aEvent.mConnection);
      return;
    }
    HandleServerConnected(mContext, aEvent.mConnection);
  }
  void operator()(const ServerDisconnected& aEvent) const
  {
    if (IsKeeperLink(mContext.mState, aEvent.mConnection)) {
      HandleKeeperDisconnected(mContext, aEvent.mConnection);
      return;
    }
    HandleServerDisconnected(mContext, aEvent.mConnection);
  }
  void operator()(const ServerReplied& aEvent) const
  {
    if (IsKeeperLink(mContext.mState, aEvent.mConnection)) {
      HandleKeeperReply(mContext, aEvent.mConnection, aEvent.mReply);
      return;
    }
    HandleServerReply(mContext, aEvent.mConnection, aEvent.mReply);
  }
  void operator()(const ConfigurationLoaded& aEvent) const
  {
    HandleConfigurationLoaded(mContext, aEvent.mConfiguration);
  }
  void operator()(const StopRequested&) const { BeginStop(mContext); }
  void operator()(const Wake&) const { StartAllQueuedRequests(mContext); }
  void operator()(const ServerLeaving& aEvent) const
  {
    HandleServerLeaving(mContext, aEvent);
  }
  void operator()(const Tick&) const
  {
    TickMembership(mContext);
    TickHostList(mContext);
    ReplaceLeavingPrimaries(mContext);
    TickConfiguration(mContext);
    TickPublications(mContext);
    TickEntry(mContext);
    TickDispatcher(mContext);
    TickKeeper(mContext);
    TickStop(mContext);
  }
  void operator()(const StoreAnswered& aEvent) const
  {
    HandleStoreAnswered(mContext, aEvent);
  }
  void operator()(const HostListAnswered& aEvent) const
  {
    HandleHostListAnswered(mContext, aEvent);
  }
  void operator()(const OperatorRequest& aEvent) const
  {
    HandleOperatorRequest(mContext, aEvent);
  }
};

/// Handles messages of this host to itself until none are left.
void
DrainLoopback(Context& aContext)
{
  std::vector<PeerMessage>& loopback = aContext.mOutbox.mLoopback;
  while (!loopback.empty()) {
    const std::vector<PeerMessage> messages = std::exchange(loopback, {});
    for (const PeerMessage& message : messages) {
      std::visit(PeerMessageHandler{ aContext, aContext.mState.mSelf },
                 message);
    }
  }
}

}

std::vector<Effect>
Step(State& aState, const Event& aEvent)
{
  Outbox outbox;
  Context context{ aState, aEvent.mNow, outbox };
  std::visit(EventHandler{ context }, aEvent.mBody);
  DrainLoopback(context);
  ReopenIntake(context);
  return std::move(outbox.mEffects);
}

}
