#include "Configuration/Distribution.h"

#include <algorithm>

#include "Configuration/ConfigurationState.h"
#include "Configuration/Rows.h"
#include "Membership/Relays.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// Interval at which the first relay of a data centre reads the head row.
constexpr Duration kPollInterval = std::chrono::milliseconds(250);
/// A request to a peer is considered lost after this long, and another one may
/// be sent.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(300);
/// A host without a configuration waits until this many peers have reported a
/// version, so that it starts with the highest rather than the first reported.
constexpr std::ptrdiff_t kMinPeerVersions = 3;
/// Limit of that wait, in case fewer peers report a version.
constexpr Duration kPeerVersionTimeout = std::chrono::milliseconds(800);
constexpr Duration kWaitingLogInterval = std::chrono::seconds(5);

std::uint64_t
VersionInForce(const State& aState)
{
  return aState.mConfiguration.mCurrent.mVersion;
}

/// Returns the connected peer with the highest version, if that is newer than
/// the one in force here and any that could not be parsed.
std::optional<HostId>
FindNewest(const State& aState)
{
  std::uint64_t highest =
    std::max(VersionInForce(aState), aState.mConfiguration.mUnusableVersion);
  std::optional<HostId> newest;
  for (const auto& [id, peer] : aState.mMembership.mPeers) {
    if (peer.mConnected && !peer.mSilent && peer.mVersion > highest) {
      highest = peer.mVersion;
      newest = id;
    }
  }
  return newest;
}

/// Whether enough peers have reported a version to a host without a
/// configuration, or its wait for them has timed out.
bool
HasEnoughPeerVersions(const State& aState, Instant aNow)
{
  const auto reported =
    std::count_if(aState.mMembership.mPeers.begin(),
                  aState.mMembership.mPeers.end(),
                  [](const auto& aItem) { return aItem.second.mVersion > 0; });
  const std::optional<Instant> since = aState.mConfiguration.mSearchingSince;
  return reported >= kMinPeerVersions ||
         (since && aNow - *since >= kPeerVersionTimeout);
}

void
RequestFromNewestPeer(Context& aContext)
{
  ConfigurationState& configuration = aContext.mState.mConfiguration;
  if (aContext.mNow - configuration.mLastRequest < kRequestTimeout) {
    return;
  }
  if (VersionInForce(aContext.mState) == 0 &&
      !HasEnoughPeerVersions(aContext.mState, aContext.mNow)) {
    return;
  }
  if (const std::optional<HostId> newest = FindNewest(aContext.mState)) {
    configuration.mLastRequest = aContext.mNow;
    SendTo(aContext, *newest, ConfigurationRequest{});
  }
}

void
PollStore(Context& aContext)
{
  ConfigurationState& configuration = aContext.mState.mConfiguration;
  const Duration elapsed = aContext.mNow - configuration.mLastPoll;
  if (configuration.mPolling || elapsed < kPollInterval) {
    return;
  }
  const std::optional<Duration> interval =
    PollInterval(aContext.mState, kPollInterval);
  if (!interval || elapsed < *interval) {
    return;
  }
  const auto call = BeginStoreCall(aContext, StorePurpose::PollVersion);
  if (!call) {
    return;
  }
  configuration.mPolling = true;
  configuration.mLastPoll = aContext.mNow;
  StoreQuery query;
  query.mKeys = { kHeadKey };
  Emit(aContext, StoreRead{ *call, std::move(query) });
}

/// Logs a warning from time to time while the host has no configuration.
void
LogIfWaiting(Context& aContext)
{
  ConfigurationState& configuration = aContext.mState.mConfiguration;
  if (VersionInForce(aContext.mState) != 0) {
    return;
  }
  if (!configuration.mSearchingSince) {
    configuration.mSearchingSince = aContext.mNow;
    configuration.mLastWaitingLog = aContext.mNow;
  }
  if (aContext.mNow - configuration.mLastWaitingLog >= kWaitingLogInterval) {
    configuration.mLastWaitingLog = aContext.mNow;
    LogRecord(aContext,
              LogSeverity::Warning,
              "waiting for a configuration from the store or a peer");
  }
}

}

void
TickConfiguration(Context& aContext)
{
  LogIfWaiting(aContext);
  PollStore(aContext);
  RequestFromNewestPeer(aContext);
}

void
HandleVersionPolled(Context& aContext,
                    StoreStatus aStatus,
                    const std::vector<StoreRow>& aRows)
{
  ConfigurationState& configuration = aContext.mState.mConfiguration;
  configuration.mPolling = false;
  const StoreRow* const head = FindRow(aRows, kHeadKey);
  if (aStatus != StoreStatus::Ok || head == nullptr ||
      head->mVersion <= VersionInForce(aContext.mState) ||
      head->mVersion <= configuration.mUnusableVersion) {
    return;
  }
  const auto call = BeginStoreCall(aContext, StorePurpose::FetchVersion);
  if (!call) {
    return;
  }
  configuration.mPolling = true;
  StoreQuery query;
  query.mKeys = { VersionKey(head->mVersion) };
  Emit(aContext, StoreRead{ *call, std::move(query) });
}

void
HandleVersionFetched(Context& aContext,
                     StoreStatus aStatus,
                     const std::vector<StoreRow>& aRows)
{
  aContext.mState.mConfiguration.mPolling = false;
  if (aStatus != StoreStatus::Ok || aRows.empty()) {
    return;
  }
  const auto record = DecodeRecord(aRows.front().mValue);
  if (!record) {
    LogRecord(aContext,
              LogSeverity::Error,
              "a version in the store is malformed",
              { { "key", aRows.front().mKey } });
    return;
  }
  Install(aContext, *record);
}

void
HandleConfigurationRequest(Context& aContext, HostId aFrom)
{
  const ConfigurationRecord& record = aContext.mState.mConfiguration.mRecord;
  if (record.mVersion != 0) {
    SendTo(aContext, aFrom, ConfigurationReply{ record });
  }
}

void
HandleConfigurationReply(Context& aContext, const ConfigurationReply& aMessage)
{
  aContext.mState.mConfiguration.mLastRequest = Instant{};
  Install(aContext, aMessage.mRecord);
}

void
NotePeerVersion(Context& aContext, HostId aFrom)
{
  const State& state = aContext.mState;
  const auto it = state.mMembership.mPeers.find(aFrom);
  if (it != state.mMembership.mPeers.end() &&
      it->second.mVersion > VersionInForce(state)) {
    RequestFromNewestPeer(aContext);
  }
}

}
