#include "Group/Copies.h"

#include <algorithm>
#include <utility>

#include "Gateway/Tuning.h"
#include "Group/Promoter.h"

namespace camphorstep::gateway {

namespace {

/// The most lists in one write; the store accepts 100 rows in a transaction.
constexpr std::size_t kMaxListsPerWrite = 50;

DataCopy
CopyOf(const ServerEntry& aEntry)
{
  return { aEntry.mName, aEntry.mAddress, aEntry.mStartedAt };
}

/// Whether a server has the log of a copy: it is the same server, or was
/// started later at its address.
bool
HasLogOf(const ServerEntry& aEntry, const DataCopy& aCopy)
{
  return aEntry.mName == aCopy.mServer ||
         (aEntry.mAddress == aCopy.mAddress &&
          aEntry.mStartedAt > aCopy.mStartedAt);
}

/// Calls a function for each listed server of the group.
template<typename Function>
void
ForEachListed(const Context& aContext, const Group& aGroup, Function aFunction)
{
  for (const ServerId id : aGroup.mServers) {
    if (const Backend* const backend = Find(aContext.mState.mBackends, id)) {
      aFunction(*backend);
    }
  }
}

/// The copies that the store's list should name.
std::vector<DataCopy>
NeededCopies(const Context& aContext, const Group& aGroup)
{
  std::vector<DataCopy> copies;
  ForEachListed(aContext, aGroup, [&](const Backend& aBackend) {
    copies.push_back(CopyOf(aBackend.mEntry));
  });
  for (const FormerCopy& former : aGroup.mFormerCopies) {
    if (!former.mIsCovered) {
      copies.push_back(former.mCopy);
    }
  }
  std::sort(copies.begin(), copies.end());
  return copies;
}

/// Returns a replica that has received all that the primary had when its status
/// was requested; nullptr if there is none. The replica reports the primary's
/// term, so its log does not differ from the primary's.
const Backend*
FindCompleteReplica(const Context& aContext,
                    const Group& aGroup,
                    const Backend& aPrimary)
{
  const Backend* found = nullptr;
  ForEachListed(aContext, aGroup, [&](const Backend& aBackend) {
    const bool isComplete =
      aBackend.mStatus && !aBackend.mStatus->mPrimary &&
      aBackend.mStatus->mTerm == aGroup.mTerm &&
      aBackend.mStatus->mReceived.mIndex >= aPrimary.mStatus->mReceived.mIndex;
    found = isComplete ? &aBackend : found;
  });
  return found;
}

/// The former copies of a group, after another promoter: those that the store
/// names and that are not listed.
std::vector<FormerCopy>
FormerCopiesIn(const Context& aContext,
               const Group& aGroup,
               const std::vector<DataCopy>& aCopies)
{
  std::vector<FormerCopy> formers;
  for (const DataCopy& copy : aCopies) {
    bool isListed = false;
    ForEachListed(aContext, aGroup, [&](const Backend& aBackend) {
      isListed |= HasLogOf(aBackend.mEntry, copy);
    });
    if (!isListed) {
      formers.push_back({ copy, aContext.mNow });
    }
  }
  return formers;
}

void
AdoptCopies(Context& aContext, const GroupCopies& aStored)
{
  Group& group = aContext.mState.mGroups[IdOf<GroupId>(aStored.mGroup)];
  group.mId = IdOf<GroupId>(aStored.mGroup);
  group.mName = aStored.mGroup;
  group.mFormerCopies = FormerCopiesIn(aContext, group, aStored.mCopies);
  for (const FormerCopy& former : group.mFormerCopies) {
    Log(aContext,
        LogSeverity::Info,
        "a server that is not listed may hold acknowledged writes",
        { { "group", group.mName },
          { "server", former.mCopy.mServer },
          { "copies", std::to_string(CountCopies(group)) } });
  }
}

}

std::size_t
CountCopies(const Group& aGroup)
{
  return aGroup.mServers.size() + aGroup.mFormerCopies.size();
}

bool
NoteListedCopy(Group& aGroup, const ServerEntry& aEntry)
{
  const bool isListedAgain =
    std::any_of(aGroup.mFormerCopies.begin(),
                aGroup.mFormerCopies.end(),
                [&](const FormerCopy& aFormer) {
                  return aFormer.mCopy.mServer == aEntry.mName;
                });
  std::erase_if(aGroup.mFormerCopies, [&](const FormerCopy& aFormer) {
    return HasLogOf(aEntry, aFormer.mCopy);
  });
  return isListedAgain;
}

void
NoteFormerCopy(Context& aContext, Group& aGroup, const Backend& aBackend)
{
  const Instant since = aBackend.mMissingSince.value_or(aContext.mNow);
  const bool isAnswering = aBackend.mLastReceivedAt > since;
  aGroup.mFormerCopies.push_back(
    { CopyOf(aBackend.mEntry), since, isAnswering });
  if (isAnswering) {
    Log(aContext,
        LogSeverity::Warning,
        "a server that is not listed any more still answers",
        { { "group", aGroup.mName }, { "server", aBackend.mEntry.mName } });
  }
}

void
DropFormerCopies(Context& aContext, Group& aGroup)
{
  const Backend* const primary =
    Find(aContext.mState.mBackends, aGroup.mPrimary);
  if (aGroup.mFormerCopies.empty() || primary == nullptr || !primary->mStatus) {
    return;
  }
  const Backend* const replica =
    FindCompleteReplica(aContext, aGroup, *primary);
  if (replica == nullptr) {
    return;
  }
  for (FormerCopy& former : aGroup.mFormerCopies) {
    if (former.mIsCovered || former.mIsAnswering ||
        primary->mStatusAskedAt <= former.mSince) {
      continue;
    }
    former.mIsCovered = true;
    Log(aContext,
        LogSeverity::Info,
        "a replica has all that a former server may have acknowledged",
        { { "group", aGroup.mName },
          { "server", former.mCopy.mServer },
          { "replica", replica->mEntry.mName },
          { "received", std::to_string(replica->mStatus->mReceived.mIndex) },
          { "primary_index",
            std::to_string(primary->mStatus->mReceived.mIndex) } });
  }
  if (!HoldsPromoterLease(aContext)) {
    std::erase_if(aGroup.mFormerCopies,
                  [](const FormerCopy& aFormer) { return aFormer.mIsCovered; });
  }
}

std::vector<GroupCopies>
CopiesToRecord(const Context& aContext)
{
  const PromoterState& promoter = aContext.mState.mPromoter;
  std::vector<GroupCopies> changed;
  if (!promoter.mHasReadCopies || !HoldsPromoterLease(aContext)) {
    return changed;
  }
  for (const auto& [id, group] : aContext.mState.mGroups) {
    std::vector<DataCopy> copies = NeededCopies(aContext, group);
    const auto stored = promoter.mStoredCopies.find(group.mName);
    const bool isStored = stored != promoter.mStoredCopies.end()
                            ? stored->second == copies
                            : copies.empty();
    if (!isStored && changed.size() < kMaxListsPerWrite) {
      changed.push_back({ group.mName, std::move(copies) });
    }
  }
  return changed;
}

void
ApplyRecordedCopies(Context& aContext, const std::vector<GroupCopies>& aGroups)
{
  for (const GroupCopies& written : aGroups) {
    aContext.mState.mPromoter.mStoredCopies[written.mGroup] = written.mCopies;
    Group* const group =
      Find(aContext.mState.mGroups, IdOf<GroupId>(written.mGroup));
    if (group == nullptr) {
      continue;
    }
    std::erase_if(group->mFormerCopies, [&](const FormerCopy& aFormer) {
      return aFormer.mIsCovered &&
             std::find(written.mCopies.begin(),
                       written.mCopies.end(),
                       aFormer.mCopy) == written.mCopies.end();
    });
    Log(aContext,
        LogSeverity::Info,
        "the store has the list of a group's copies",
        { { "group", written.mGroup },
          { "copies", std::to_string(written.mCopies.size()) } });
  }
}

void
ApplyStoredCopies(Context& aContext,
                  const TableAnswer& aAnswer,
                  Instant aAskedAt)
{
  PromoterState& promoter = aContext.mState.mPromoter;
  if (!aAnswer.mIsSnapshot) {
    return;
  }
  promoter.mStoredCopies.clear();
  for (const GroupCopies& stored : aAnswer.mCopies) {
    promoter.mStoredCopies[stored.mGroup] = stored.mCopies;
  }
  if (promoter.mHasReadCopies || !HoldsPromoterLease(aContext) ||
      aAskedAt < promoter.mHeldSince) {
    return;
  }
  promoter.mHasReadCopies = true;
  for (const GroupCopies& stored : aAnswer.mCopies) {
    AdoptCopies(aContext, stored);
  }
  Log(aContext,
      LogSeverity::Info,
      "the lists of the groups' copies are read",
      { { "groups", std::to_string(aAnswer.mCopies.size()) },
        { "version", std::to_string(aAnswer.mVersion) },
        { "fencing_token", std::to_string(promoter.mLease.mToken) } });
}

}
