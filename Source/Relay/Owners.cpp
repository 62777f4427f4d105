#include "Relay/Owners.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "Common/Hash.h"
#include "Common/NamedEnum.h"
#include "Gateway/Tuning.h"
#include "Relay/RelayTuning.h"

namespace camphorstep::gateway {

namespace {

constexpr std::array kFailureNames{
  EnumName<OwnerFailure>{ OwnerFailure::Leaving, "leaving" },
  EnumName<OwnerFailure>{ OwnerFailure::Slow, "slow" },
  EnumName<OwnerFailure>{ OwnerFailure::Unreachable, "unreachable" },
  EnumName<OwnerFailure>{ OwnerFailure::Frozen, "frozen" },
};

/// A host's score in weighted rendezvous hashing: the hash as a number between
/// 0 and 1, to the power of 1 / weight, on a scale that grows with it.
double
ScoreOf(const HostEntry& aHost, const std::string& aGroup)
{
  constexpr unsigned kSurplusBits = 11;
  constexpr double kRange = 9007199254740992.0; // 2^53
  const std::uint64_t bits =
    HashPair(Hash64(aHost.mName), Hash64(aGroup)) >> kSurplusBits;
  const double fraction = (static_cast<double>(bits) + 0.5) / kRange;
  return std::max(aHost.mProcessorShare, 1U) / -std::log(fraction);
}

bool
IsPassedOver(const Context& aContext, const std::string& aHost)
{
  const OwnerBackoff* const backoff =
    Find(aContext.mState.mRelays.mBackoffs, aHost);
  return backoff != nullptr && aContext.mNow < backoff->mUntil;
}

}

bool
AreConnectionsScarce(const Context& aContext, const Group& aGroup)
{
  const std::uint32_t most = aGroup.mRules.mMaxConnections;
  const std::uint32_t usable =
    most > kSpareConnections ? most - kSpareConnections : 0;
  // A connection carries the statements of one account.
  const auto& accounts = aContext.mState.mCatalogue.mAccounts;
  const std::size_t perHost =
    accounts ? std::max<std::size_t>(1, accounts->mRules.mAccounts.size()) : 1;
  return aContext.mState.mCatalogue.mHosts.size() * perHost > usable;
}

const HostEntry*
ChooseOwner(const Context& aContext, const std::string& aGroup)
{
  const HostEntry& self = aContext.mState.mSelf.mEntry;
  const HostEntry* best = &self;
  double bestScore = ScoreOf(self, aGroup);
  for (const auto& [name, host] : aContext.mState.mCatalogue.mHosts) {
    if (host.mDataCentre != self.mDataCentre || name == self.mName ||
        IsPassedOver(aContext, name)) {
      continue;
    }
    const double score = ScoreOf(host, aGroup);
    if (score > bestScore) {
      best = &host;
      bestScore = score;
    }
  }
  return best == &self ? nullptr : best;
}

bool
IsFrozenOwner(const Context& aContext, const std::string& aHost)
{
  const OwnerBackoff* const backoff =
    Find(aContext.mState.mRelays.mBackoffs, aHost);
  return backoff != nullptr && aContext.mNow < backoff->mUntil &&
         backoff->mFailure == OwnerFailure::Frozen;
}

void
BackOffOwner(Context& aContext, const std::string& aHost, OwnerFailure aFailure)
{
  OwnerBackoff& backoff = aContext.mState.mRelays.mBackoffs[aHost];
  if (aContext.mNow < backoff.mUntil && !backoff.mIsProbed) {
    if (aFailure == OwnerFailure::Frozen) {
      backoff.mFailure = aFailure;
    }
    return;
  }
  const Duration delay = aFailure == OwnerFailure::Leaving
                           ? kInitialOwnerBackoff
                           : std::max(backoff.mNextDelay, kInitialOwnerBackoff);
  backoff.mUntil = aContext.mNow + delay;
  backoff.mNextDelay = std::min(2 * delay, kMaxOwnerBackoff);
  backoff.mFailure = aFailure;
  backoff.mIsProbed = false;
  ++aContext.mState.mCounters.mOwnersPassedOver;
  Log(aContext,
      LogSeverity::Warning,
      "owner of connections is passed over",
      { { "host", aHost },
        { "reason", std::string(NameIn(kFailureNames, aFailure)) },
        { "for_ms", Milliseconds(delay) } });
}

void
NoteOwnerProbe(Context& aContext, const std::string& aHost)
{
  OwnerBackoff* const backoff = Find(aContext.mState.mRelays.mBackoffs, aHost);
  if (backoff != nullptr) {
    backoff->mUntil = aContext.mNow + kRelayOpenTimeout;
    backoff->mIsProbed = true;
  }
}

void
NoteOwnerAcceptance(Context& aContext, const std::string& aHost)
{
  auto& backoffs = aContext.mState.mRelays.mBackoffs;
  const auto it = backoffs.find(aHost);
  // A host that is leaving still opens sessions at first.
  if (it != backoffs.end() &&
      (it->second.mIsProbed || it->second.mFailure != OwnerFailure::Leaving)) {
    backoffs.erase(it);
  }
}

void
NoteOwnerAnswer(Context& aContext, const std::string& aHost)
{
  if (IsFrozenOwner(aContext, aHost)) {
    aContext.mState.mRelays.mBackoffs.erase(aHost);
  }
}

}
