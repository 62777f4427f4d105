#include "Group/Copies.h"

#include <algorithm>
#include <utility>

#include "Gateway/Tuning.h"
#include "Group/Promoter.h"
#include "Group/RetiredTerms.h"

namespace camphorstep::gateway {

namespace {

/// The most records in one write; the store accepts 100 rows in a transaction.
constexpr std::size_t kMaxRecordsPerWrite = 50;

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

/// The copies that the store's record should name.
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

/// The record that the store should have of a group.
GroupRecord
NeededRecord(const Context& aContext, const Group& aGroup)
{
  const Term before = std::max<Term>(aGroup.mTerm, 1) - 1;
  return { aGroup.mName,
           NeededCopies(aContext, aGroup),
           std::max({ before,
                      RetiredTermOf(aContext, aGroup),
                      aGroup.mTakeover.mRetiredTerm }) };
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
AdoptCopies(Context& aContext, const GroupRecord& aStored)
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

bool
IsRecordStored(const Context& aContext, const Group& aGroup)
{
  const auto& stored = aContext.mState.mPromoter.mStoredRecords;
  const auto found = stored.find(aGroup.mName);
  const GroupRecord needed = NeededRecord(aContext, aGroup);
  return found == stored.end()
           ? needed.mCopies.empty() && needed.mRetiredTerm == 0
           : found->second == needed;
}

std::vector<GroupRecord>
RecordsToWrite(const Context& aContext)
{
  std::vector<GroupRecord> changed;
  if (!aContext.mState.mPromoter.mHasReadRecords ||
      !HoldsPromoterLease(aContext)) {
    return changed;
  }
  for (const auto& [id, group] : aContext.mState.mGroups) {
    if (!IsRecordStored(aContext, group) &&
        changed.size() < kMaxRecordsPerWrite) {
      changed.push_back(NeededRecord(aContext, group));
    }
  }
  return changed;
}

void
ApplyWrittenRecords(Context& aContext, const std::vector<GroupRecord>& aRecords)
{
  for (const GroupRecord& written : aRecords) {
    aContext.mState.mPromoter.mStoredRecords[written.mGroup] = written;
    NoteRetiredTerm(aContext, written.mGroup, written.mRetiredTerm);
    Group* const group =
      Find(aContext.mState.mGroups, IdOf<GroupId>(written.mGroup));
    if (group == nullptr) {
      continue;
    }
    NoteRetirement(aContext, *group);
    std::erase_if(group->mFormerCopies, [&](const FormerCopy& aFormer) {
      return aFormer.mIsCovered &&
             std::find(written.mCopies.begin(),
                       written.mCopies.end(),
                       aFormer.mCopy) == written.mCopies.end();
    });
    Log(aContext,
        LogSeverity::Info,
        "the store has the record of a group",
        { { "group", written.mGroup },
          { "copies", std::to_string(written.mCopies.size()) },
          { "retired_term", std::to_string(written.mRetiredTerm) } });
  }
}

void
ApplyStoredRecords(Context& aContext,
                   const TableAnswer& aAnswer,
                   Instant aAskedAt)
{
  PromoterState& promoter = aContext.mState.mPromoter;
  for (const GroupRecord& stored : aAnswer.mRecords) {
    NoteRetiredTerm(aContext, stored.mGroup, stored.mRetiredTerm);
  }
  if (!aAnswer.mIsSnapshot) {
    return;
  }
  promoter.mStoredRecords.clear();
  for (const GroupRecord& stored : aAnswer.mRecords) {
    promoter.mStoredRecords[stored.mGroup] = stored;
  }
  for (auto& [id, group] : aContext.mState.mGroups) {
    NoteRetirement(aContext, group);
  }
  if (promoter.mHasReadRecords || !HoldsPromoterLease(aContext) ||
      aAskedAt < promoter.mHeldSince) {
    return;
  }
  promoter.mHasReadRecords = true;
  for (const GroupRecord& stored : aAnswer.mRecords) {
    AdoptCopies(aContext, stored);
  }
  Log(aContext,
      LogSeverity::Info,
      "the records of the groups are read",
      { { "groups", std::to_string(aAnswer.mRecords.size()) },
        { "version", std::to_string(aAnswer.mVersion) },
        { "fencing_token", std::to_string(promoter.mLease.mToken) } });
}

}
