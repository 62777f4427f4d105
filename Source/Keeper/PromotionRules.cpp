#include "Keeper/PromotionRules.h"

#include <algorithm>
#include <tuple>

#include "Keeper/Lease.h"

#include "Reducer/SeededFaults.h"

namespace camphorstep {

namespace {

/// Number of consecutive failed connections after which a server counts as
/// lost.
constexpr int kFailuresUntilLost = 3;

Position
LoggedBy(const Promotion& aPromotion, ServerId aServer)
{
  return aPromotion.mServers.at(aServer).mFenceReply->mLogged;
}

}

bool
IsLost(const PromotionServer& aServer)
{
  return aServer.mFailures >= kFailuresUntilLost;
}

Term
HighestTerm(const Promotion& aPromotion)
{
  Term highest = 0;
  for (const auto& [id, server] : aPromotion.mServers) {
    if (server.mReply) {
      highest = std::max(highest, server.mReply->mTerm);
    }
  }
  return highest;
}

bool
IsProbeComplete(const Promotion& aPromotion,
                const std::vector<ServerId>& aVoters)
{
  std::size_t answering = 0;
  for (const auto& [id, server] : aPromotion.mServers) {
    const bool answers = server.mReply && server.mFailures == 0;
    if (!answers && !IsLost(server)) {
      return false;
    }
    const bool votes =
      std::find(aVoters.begin(), aVoters.end(), id) != aVoters.end();
    answering += answers && votes ? 1 : 0;
  }
  return answering >= MajorityOf(aVoters.size());
}

bool
HasFencedMajority(const Promotion& aPromotion,
                  const std::vector<ServerId>& aVoters)
{
  const auto fenced = static_cast<std::size_t>(std::count_if(
    aVoters.begin(), aVoters.end(), [&aPromotion](ServerId aVoter) {
      const auto it = aPromotion.mServers.find(aVoter);
      return it != aPromotion.mServers.end() && it->second.mFenceReply;
    }));
  return fenced >= MajorityOf(aVoters.size());
}

bool
CanSkipLeaseWait(const Promotion& aPromotion)
{
  Term latest = 0;
  for (const auto& [id, server] : aPromotion.mServers) {
    if (server.mFenceReply) {
      latest = std::max(latest, server.mFenceReply->mFormerTerm);
    }
  }
  const ServerId candidate = BestCandidate(aPromotion);
  return std::any_of(
    aPromotion.mServers.begin(),
    aPromotion.mServers.end(),
    [&](const auto& aItem) {
      const std::optional<ServerReply>& fenced = aItem.second.mFenceReply;
      return fenced && fenced->mFormerRole == ServerRole::Primary &&
             fenced->mFormerTerm == latest &&
             LoggedBy(aPromotion, candidate) >= fenced->mLogged;
    });
}

ServerId
BestCandidate(const Promotion& aPromotion)
{
  ServerId best;
  for (const auto& [id, server] : aPromotion.mServers) {
    if (!server.mFenceReply) {
      continue;
    }
    const auto rankKey = [&aPromotion](ServerId aServer) {
      Position logged = LoggedBy(aPromotion, aServer);
      if (IsSeeded(SeededFault::HighestIndexAlone)) {
        logged.mTerm = 0;
      }
      return std::tuple(logged, aServer != aPromotion.mAvoided);
    };
    if (!best || rankKey(id) > rankKey(best)) {
      best = id;
    }
  }
  return best;
}

bool
AllFollow(const Promotion& aPromotion)
{
  return std::all_of(aPromotion.mServers.begin(),
                     aPromotion.mServers.end(),
                     [&aPromotion](const auto& aItem) {
                       return aItem.first == aPromotion.mCandidate ||
                              aItem.second.mFollows;
                     });
}

}
