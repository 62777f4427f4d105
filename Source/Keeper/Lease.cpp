#include "Keeper/Lease.h"

#include <algorithm>
#include <functional>

#include "Reducer/State.h"

namespace camphorstep {

std::vector<ServerId>
VotersOf(const State& aState, DatabaseId aDatabase)
{
  const auto it = aState.mKeeper.mGroups.find(aDatabase);
  if (it != aState.mKeeper.mGroups.end() && !it->second.mVoters.empty()) {
    return it->second.mVoters;
  }
  const Database* const database = aState.mTopology.FindDatabase(aDatabase);
  return database == nullptr ? std::vector<ServerId>{} : database->mServers;
}

std::size_t
MajorityOf(std::size_t aVoters)
{
  return aVoters / 2 + 1;
}

void
NoteEvidence(Group& aGroup,
             ServerId aServer,
             const ServerReply& aReply,
             Instant aSentAt)
{
  if (aReply.mLogged.mTerm >= aGroup.mVotersTerm && !aReply.mVoters.empty()) {
    aGroup.mVoters = aReply.mVoters;
    aGroup.mVotersTerm = aReply.mLogged.mTerm;
  }
  TermEvidence& evidence = aGroup.mEvidence[aServer];
  if (aReply.mTerm < evidence.mTerm) {
    return;
  }
  if (aReply.mTerm > evidence.mTerm) {
    evidence = TermEvidence{ aReply.mTerm, aSentAt, aReply.mLogged };
    return;
  }
  evidence.mSentAt = std::max(evidence.mSentAt, aSentAt);
  evidence.mLogged = std::max(evidence.mLogged, aReply.mLogged);
}

Instant
LeaseUntil(const State& aState,
           DatabaseId aDatabase,
           ServerId aPrimary,
           Term aTerm)
{
  const auto group = aState.mKeeper.mGroups.find(aDatabase);
  if (group == aState.mKeeper.mGroups.end()) {
    return Instant::min();
  }
  const auto& evidence = group->second.mEvidence;
  const auto sentAt = [&](ServerId aServer) {
    const auto it = evidence.find(aServer);
    return it != evidence.end() && it->second.mTerm == aTerm
             ? it->second.mSentAt
             : Instant::min();
  };
  const std::vector<ServerId> voters = VotersOf(aState, aDatabase);
  std::vector<Instant> others;
  for (const ServerId voter : voters) {
    if (voter != aPrimary) {
      others.push_back(sentAt(voter));
    }
  }
  const std::size_t needed = MajorityOf(voters.size()) - 1;
  if (others.size() < needed) {
    return Instant::min();
  }
  std::sort(others.begin(), others.end(), std::greater<>());
  const Instant primary = sentAt(aPrimary);
  const Instant oldest =
    needed == 0 ? primary : std::min(primary, others[needed - 1]);
  return oldest == Instant::min() ? oldest : oldest + kLeaseDuration;
}

bool
IsReplicated(const State& aState,
             DatabaseId aDatabase,
             ServerId aPrimary,
             Position aPosition)
{
  const Group& group = aState.mKeeper.mGroups.at(aDatabase);
  const std::vector<ServerId> voters = VotersOf(aState, aDatabase);
  std::size_t holders = 0;
  for (const ServerId voter : voters) {
    const auto it = group.mEvidence.find(voter);
    // A log that ends at a later term does not prove that it contains the
    // position.
    const bool holds = voter != aPrimary && it != group.mEvidence.end() &&
                       it->second.mTerm == aPosition.mTerm &&
                       it->second.mLogged.mTerm == aPosition.mTerm &&
                       it->second.mLogged >= aPosition;
    holders += holds ? 1 : 0;
  }
  return holders >= MajorityOf(voters.size()) - 1;
}

}
