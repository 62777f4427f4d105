#include "Membership/Membership.h"

#include <algorithm>
#include <vector>

#include "Membership/HostList.h"
#include "Membership/Relays.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
/// A peer of this data centre from which no heartbeat has arrived for this long
/// gets no new work.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(1'200);
/// A link over which no heartbeat has arrived for this long is replaced.
constexpr Duration kLinkTimeout = std::chrono::milliseconds(3'000);
/// Interval at which other hosts are notified of a peer that remains silent.
constexpr Duration kReportInterval = std::chrono::seconds(4);
/// How long other hosts' report of a silent peer remains valid.
constexpr Duration kReportLifetime = std::chrono::seconds(10);
/// Heartbeats to this many relays of other data centres keep the interval of
/// those within a data centre; with more of them it grows in proportion.
constexpr int kFastRemotePartners = 3;

Heartbeat
MakeHeartbeat(const Context& aContext, const PeerStatus& aPeer)
{
  const State& state = aContext.mState;
  Heartbeat heartbeat;
  heartbeat.mLeaving = state.mStopping;
  heartbeat.mStartedAt = state.mStartedAt;
  heartbeat.mGeneration = state.mGeneration;
  heartbeat.mVersion = state.mConfiguration.mCurrent.mVersion;
  heartbeat.mSinceHeard = aContext.mNow - aPeer.mLastReceivedAt;
  return heartbeat;
}

void
SendHeartbeat(Context& aContext, HostId aHost, const PeerStatus& aPeer)
{
  if (aPeer.mConnected) {
    SendTo(aContext, aHost, MakeHeartbeat(aContext, aPeer));
  }
}

bool
IsInDataCentre(const State& aState, HostId aHost)
{
  const Host* const host = aState.mTopology.FindHost(aHost);
  return host != nullptr &&
         host->mPlace.mDataCentre == aState.mPlace.mDataCentre;
}

/// Replaces the link to a peer that seems to transmit nothing, unless it was
/// opened or replaced within kLinkTimeout.
void
ReopenLink(Context& aContext, HostId aHost, PeerStatus& aPeer)
{
  if (aPeer.mConnected && aContext.mNow - aPeer.mLinkOpenedAt > kLinkTimeout) {
    aPeer.mLinkOpenedAt = aContext.mNow;
    Emit(aContext, ReopenPeerLink{ aHost });
  }
}

/// Notifies the hosts of this data centre whether a peer is silent.
void
SendSilentPeerNotice(Context& aContext, HostId aHost, PeerStatus& aPeer)
{
  aPeer.mLastReport = aContext.mNow;
  for (const auto& [id, peer] : aContext.mState.mMembership.mPeers) {
    if (id != aHost && peer.mConnected && IsInDataCentre(aContext.mState, id)) {
      SendTo(aContext, id, SilentPeerNotice{ aHost, aPeer.mSilent });
    }
  }
}

/// How often heartbeats go to relays of other data centres.
Duration
RemoteInterval(const HeartbeatPartners& aPartners)
{
  const auto partners = static_cast<int>(aPartners.mRemote.size());
  return kHeartbeatInterval * std::max(1, partners / kFastRemotePartners);
}

/// Checks a peer from which heartbeats are expected.
void
CheckPeerSilence(Context& aContext,
                 HostId aHost,
                 PeerStatus& aPeer,
                 Duration aRemoteInterval)
{
  const Duration silence = aContext.mNow - aPeer.mLastReceivedAt;
  const bool sameDataCentre = IsInDataCentre(aContext.mState, aHost);
  // Relays of other data centres change, so silence is a weaker sign of failure
  // for them.
  const Duration limit =
    sameDataCentre ? kPeerTimeout : std::max(kLinkTimeout, 3 * aRemoteInterval);
  const bool changed = aPeer.mSilent != (silence > limit);
  aPeer.mSilent = silence > limit;
  if (changed && aPeer.mSilent) {
    LogRecord(aContext,
              LogSeverity::Warning,
              "a peer has gone silent",
              { { "peer", aContext.mState.mTopology.FindHost(aHost)->mName } });
  }
  const bool due =
    aPeer.mSilent && aContext.mNow - aPeer.mLastReport >= kReportInterval;
  if (sameDataCentre && (changed || due)) {
    SendSilentPeerNotice(aContext, aHost, aPeer);
  }
  if (silence > std::max(limit, kLinkTimeout)) {
    ReopenLink(aContext, aHost, aPeer);
  }
}

/// Returns the available host of a list that is nearest to a server; among
/// equally near hosts the first in rendezvous order.
std::optional<HostId>
ChooseAmong(const State& aState,
            const std::vector<HostId>& aHosts,
            const Server& aServer)
{
  std::optional<HostId> best;
  Proximity bestProximity = Proximity::OtherRegion;
  std::uint64_t bestWeight = 0;
  for (const HostId id : aHosts) {
    if (!IsAvailable(aState, id)) {
      continue;
    }
    const Host* const host = aState.mTopology.FindHost(id);
    const Proximity proximity = ProximityOf(host->mPlace, aServer.mPlace);
    const std::uint64_t weight = HashPair(id.mValue, aServer.mId.mValue);
    const bool better = !best || proximity < bestProximity ||
                        (proximity == bestProximity && weight > bestWeight);
    if (better) {
      best = id;
      bestProximity = proximity;
      bestWeight = weight;
    }
  }
  return best;
}

}

void
HandlePeerConnected(Context& aContext, HostId aHost)
{
  PeerStatus& peer = aContext.mState.mMembership.mPeers[aHost];
  peer.mConnected = true;
  peer.mLinkOpenedAt = aContext.mNow;
  peer.mLastReceivedAt = aContext.mNow;
  peer.mReportedSilentUntil = Instant{};
  SendHeartbeat(aContext, aHost, peer);
}

void
HandlePeerDisconnected(Context& aContext, HostId aHost)
{
  aContext.mState.mMembership.mPeers[aHost].mConnected = false;
}

void
HandleHeartbeat(Context& aContext, HostId aFrom, const Heartbeat& aMessage)
{
  PeerStatus& peer = aContext.mState.mMembership.mPeers[aFrom];
  if (aMessage.mStartedAt < peer.mStartedAt) {
    // A late heartbeat of an earlier process of that host.
    return;
  }
  peer.mLeaving = aMessage.mLeaving;
  peer.mLastReceivedAt = aContext.mNow;
  peer.mReportedSilentUntil = Instant{};
  peer.mStartedAt = aMessage.mStartedAt;
  peer.mGeneration = aMessage.mGeneration;
  peer.mVersion = aMessage.mVersion;
  if (peer.mSilent) {
    peer.mSilent = false;
    if (IsInDataCentre(aContext.mState, aFrom)) {
      SendSilentPeerNotice(aContext, aFrom, peer);
    }
  }
  if (aMessage.mSinceHeard > kLinkTimeout &&
      IsInDataCentre(aContext.mState, aFrom)) {
    ReopenLink(aContext, aFrom, peer);
  }
}

void
HandleSilentPeerNotice(Context& aContext, const SilentPeerNotice& aMessage)
{
  const State& state = aContext.mState;
  const auto it = aContext.mState.mMembership.mPeers.find(aMessage.mHost);
  if (it == aContext.mState.mMembership.mPeers.end() ||
      FindHeartbeatPartners(state).Contains(aMessage.mHost)) {
    // Heartbeats that this host receives itself take precedence.
    return;
  }
  it->second.mReportedSilentUntil =
    aMessage.mSilent ? aContext.mNow + kReportLifetime : Instant{};
  it->second.mSilent = aMessage.mSilent;
}

void
TickMembership(Context& aContext)
{
  State& state = aContext.mState;
  MembershipState& membership = state.mMembership;
  if (aContext.mNow - membership.mLastHeartbeat < kHeartbeatInterval) {
    return;
  }
  membership.mLastHeartbeat = aContext.mNow;
  const HeartbeatPartners partners = FindHeartbeatPartners(state);
  const Duration remoteInterval = RemoteInterval(partners);
  for (auto& [host, peer] : membership.mPeers) {
    if (partners.Contains(host)) {
      const bool due = IsInDataCentre(state, host) ||
                       aContext.mNow - peer.mLastSent >= remoteInterval;
      if (due) {
        peer.mLastSent = aContext.mNow;
        SendHeartbeat(aContext, host, peer);
      }
      CheckPeerSilence(aContext, host, peer, remoteInterval);
    } else if (aContext.mNow >= peer.mReportedSilentUntil) {
      peer.mSilent = false;
    }
  }
}

void
SendHeartbeatToNeighbours(Context& aContext)
{
  const HeartbeatPartners partners = FindHeartbeatPartners(aContext.mState);
  for (const auto& [host, peer] : aContext.mState.mMembership.mPeers) {
    if (partners.mLocal.contains(host)) {
      SendHeartbeat(aContext, host, peer);
    }
  }
}

void
SendHeartbeatToAllPeers(Context& aContext)
{
  for (const auto& [host, peer] : aContext.mState.mMembership.mPeers) {
    SendHeartbeat(aContext, host, peer);
  }
}

bool
IsAvailable(const State& aState, HostId aHost)
{
  if (aHost == aState.mSelf) {
    return !aState.mStopping;
  }
  const auto it = aState.mMembership.mPeers.find(aHost);
  return it != aState.mMembership.mPeers.end() && it->second.mConnected &&
         !it->second.mSilent && !IsHostLeaving(aState, aHost);
}

std::optional<HostId>
DispatcherOf(const State& aState, ServerId aServer)
{
  const Server* const server = aState.mTopology.FindServer(aServer);
  if (server == nullptr) {
    return std::nullopt;
  }
  // The data centre nearly always has an available host, so the hosts of other
  // data centres are considered only if it has none.
  if (const std::optional<HostId> host =
        ChooseAmong(aState,
                    aState.mTopology.HostsOf(server->mPlace.mDataCentre),
                    *server)) {
    return host;
  }
  std::vector<HostId> all;
  for (const auto& [id, host] : aState.mTopology.mHosts) {
    all.push_back(id);
  }
  const std::optional<HostId> host = ChooseAmong(aState, all, *server);
  if (!host && aState.mStopping) {
    return aState.mSelf;
  }
  return host;
}

}
