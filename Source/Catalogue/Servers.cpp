#include "Catalogue/Servers.h"

#include <algorithm>
#include <set>
#include <vector>

#include "Backend/Pool.h"
#include "Catalogue/Tables.h"
#include "Gateway/Tuning.h"
#include "Group/Copies.h"
#include "Session/Execution.h"
#include "Session/Outcomes.h"

namespace camphorstep::gateway {

namespace {

Group&
FindOrAddGroup(Context& aContext, const std::string& aName)
{
  Group& group = aContext.mState.mGroups[IdOf<GroupId>(aName)];
  group.mId = IdOf<GroupId>(aName);
  group.mName = aName;
  return group;
}

void
CloseAllLinks(Context& aContext, Backend& aBackend)
{
  std::vector<LinkId> links = aBackend.mLinks;
  links.push_back(aBackend.mControlLink);
  links.push_back(aBackend.mLateControlLink);
  for (const LinkId id : links) {
    const Link* const link = Find(aContext.mState.mLinks, id);
    if (link == nullptr) {
      continue;
    }
    const Link lost = *link;
    DropLink(aContext, id);
    HandleLostLink(aContext, lost);
  }
}

/// Whether another server of the same group has been started at a server's
/// address since, so that this one has ended.
bool
IsReplacedBy(const ServerEntry& aEntry, const ServerEntry& aOther)
{
  return aOther.mName != aEntry.mName && aOther.mGroup == aEntry.mGroup &&
         aOther.mAddress == aEntry.mAddress &&
         aOther.mStartedAt > aEntry.mStartedAt;
}

/// The servers of an entry's group that are known.
std::vector<ServerId>
ServersOfGroup(const Context& aContext, const ServerEntry& aEntry)
{
  const Group* const group =
    Find(aContext.mState.mGroups, IdOf<GroupId>(aEntry.mGroup));
  return group == nullptr ? std::vector<ServerId>{} : group->mServers;
}

/// Hides an entry if a listed server has been started at its address since; it
/// may outlast its server, or come back with an older copy of the store.
/// Returns whether it is hidden.
bool
HideIfReplaced(Context& aContext, const ServerEntry& aEntry)
{
  for (const ServerId id : ServersOfGroup(aContext, aEntry)) {
    Backend& backend = aContext.mState.mBackends.at(id);
    if (!backend.mMissingSince && IsReplacedBy(aEntry, backend.mEntry)) {
      backend.mHidesEntry = true;
      return true;
    }
  }
  return false;
}

void
AddServer(Context& aContext, const ServerEntry& aEntry)
{
  Backend backend;
  backend.mId = IdOf<ServerId>(aEntry.mName);
  backend.mEntry = aEntry;
  Group& group = FindOrAddGroup(aContext, aEntry.mGroup);
  backend.mGroup = group.mId;
  group.mServers.push_back(backend.mId);
  const bool isListedAgain = NoteListedCopy(group, aEntry);
  if (!isListedAgain && IsTableKnown(aContext, Table::Servers)) {
    backend.mJoinedAt = aContext.mNow;
  }
  if (IsTableKnown(aContext, Table::Servers)) {
    group.mLastJoinedAt = aContext.mNow;
  }
  Log(aContext,
      LogSeverity::Info,
      "backend server is listed",
      { { "server", aEntry.mName },
        { "group", aEntry.mGroup },
        { "data_centre", aEntry.mDataCentre },
        { "leaving", aEntry.mLeaving ? "yes" : "no" } });
  aContext.mState.mBackends.emplace(backend.mId, std::move(backend));
  aContext.mState.mTimers.ArmSooner(
    TimerKind::SampleGroup, group.mId.mValue, aContext.mNow);
}

/// Closes idle connections to a server that gets no new work, and sends
/// elsewhere what waits for it.
void
DrainServer(Context& aContext, Backend& aBackend)
{
  const std::vector<LinkId> links = aBackend.mLinks;
  for (const LinkId id : links) {
    const Link* const link = Find(aContext.mState.mLinks, id);
    if (link != nullptr && link->mReady && !link->mSession &&
        link->mExchanges.empty()) {
      DropLink(aContext, id);
    }
  }
  RerouteQueue(aContext, aBackend);
}

void
UpdateServer(Context& aContext, Backend& aBackend, const ServerEntry& aEntry)
{
  const bool isRestart = aBackend.mEntry.mStartedAt != aEntry.mStartedAt ||
                         !(aBackend.mEntry.mAddress == aEntry.mAddress);
  if (isRestart) {
    Log(aContext,
        LogSeverity::Info,
        "backend server has restarted",
        { { "server", aEntry.mName } });
    CloseAllLinks(aContext, aBackend);
    // A pause of which this host may not know has ended with the restart.
    aBackend.mJoinedAt = aContext.mNow;
    aBackend.mStatus.reset();
    aBackend.mApplied = Position{};
    aBackend.mLeavingSince.reset();
  }
  if (aBackend.mMissingSince) {
    aBackend.mMissingSince.reset();
    aBackend.mHidesEntry = false;
    Log(aContext,
        LogSeverity::Info,
        "backend server is listed again",
        { { "server", aEntry.mName } });
  }
  // A server that is leaving ends; an entry from before that is out of date.
  const bool wasLeaving = aBackend.mEntry.mLeaving && !isRestart;
  aBackend.mEntry = aEntry;
  aBackend.mEntry.mLeaving |= wasLeaving;
}

void
NoteLeaving(Context& aContext, Backend& aBackend)
{
  if (!aBackend.mEntry.mLeaving || aBackend.mLeavingSince) {
    return;
  }
  aBackend.mLeavingSince = aContext.mNow;
  Log(aContext,
      LogSeverity::Info,
      "backend server is leaving",
      { { "server", aBackend.mEntry.mName },
        { "primary",
          aBackend.mStatus && aBackend.mStatus->mPrimary ? "yes" : "no" } });
  if (!CanTakeNewWork(aBackend, aContext.mNow)) {
    DrainServer(aContext, aBackend);
  }
}

/// Whether an entry is of an earlier start of the server than the known one.
/// One without a time of start is not.
bool
IsOfEarlierStart(const Backend& aBackend, const ServerEntry& aEntry)
{
  return aEntry.mStartedAt != 0 &&
         aEntry.mStartedAt < aBackend.mEntry.mStartedAt;
}

/// Returns whether the server was listed before.
bool
NoteMissing(Context& aContext, const std::string& aName)
{
  Backend* const backend =
    Find(aContext.mState.mBackends, IdOf<ServerId>(aName));
  if (backend == nullptr || backend->mMissingSince) {
    return false;
  }
  backend->mMissingSince = aContext.mNow;
  Log(aContext,
      LogSeverity::Info,
      "backend server is no longer listed",
      { { "server", aName },
        { "older_entry", backend->mHidesEntry ? "yes" : "no" } });
  return true;
}

void
RemoveServer(Context& aContext, ServerId aServer)
{
  Backend& backend = aContext.mState.mBackends.at(aServer);
  Log(aContext,
      LogSeverity::Info,
      "backend server is removed",
      { { "server", backend.mEntry.mName } });
  if (Group* const group = Find(aContext.mState.mGroups, backend.mGroup)) {
    std::erase(group->mServers, aServer);
    if (!backend.mLeavingSince) {
      group->mLastLostAt = aContext.mNow;
    }
    if (group->mPrimary == aServer) {
      group->mPrimary = ServerId{};
    }
    NoteFormerCopy(aContext, *group, backend);
  }
  CloseAllLinks(aContext, backend);
  RerouteQueue(aContext, backend);
  aContext.mState.mTimers.Cancel(TimerKind::Pool, aServer.mValue);
  aContext.mState.mBackends.erase(aServer);
}

/// Removes the servers that have ended because one was started at their
/// address. Together with it they would count as two copies of the data, and a
/// takeover would wait for the one that is gone.
void
RemoveReplacedServers(Context& aContext, const ServerEntry& aEntry)
{
  for (const ServerId id : ServersOfGroup(aContext, aEntry)) {
    if (IsReplacedBy(aContext.mState.mBackends.at(id).mEntry, aEntry)) {
      RemoveServer(aContext, id);
    }
  }
}

/// Returns whether the entry says anything new.
bool
ApplyEntry(Context& aContext, const ServerEntry& aEntry)
{
  const ServerId id = IdOf<ServerId>(aEntry.mName);
  if (Backend* const backend = Find(aContext.mState.mBackends, id)) {
    if (IsOfEarlierStart(*backend, aEntry)) {
      // The store may have returned from an older copy; the server is going to
      // write its entry again.
      backend->mHidesEntry = true;
      return NoteMissing(aContext, aEntry.mName);
    }
    if (backend->mEntry == aEntry && !backend->mMissingSince) {
      return false;
    }
    UpdateServer(aContext, *backend, aEntry);
  } else if (HideIfReplaced(aContext, aEntry)) {
    return false;
  } else {
    RemoveReplacedServers(aContext, aEntry);
    AddServer(aContext, aEntry);
  }
  NoteLeaving(aContext, aContext.mState.mBackends.at(id));
  return true;
}

}

bool
ApplyServers(Context& aContext, const TableAnswer& aAnswer)
{
  bool hasChanged = false;
  std::set<std::string> listed;
  for (const RowChange<ServerEntry>& change : aAnswer.mServers) {
    if (change.mEntry) {
      listed.insert(change.mKey);
      hasChanged |= ApplyEntry(aContext, *change.mEntry);
    } else {
      hasChanged |= NoteMissing(aContext, change.mKey);
    }
  }
  if (aAnswer.mIsSnapshot) {
    std::vector<std::string> missing;
    for (const auto& [id, backend] : aContext.mState.mBackends) {
      if (!listed.contains(backend.mEntry.mName)) {
        missing.push_back(backend.mEntry.mName);
      }
    }
    for (const std::string& name : missing) {
      hasChanged |= NoteMissing(aContext, name);
    }
  }
  RemoveMissingServers(aContext);
  return hasChanged;
}

void
RestartMissingGrace(Context& aContext)
{
  for (auto& [id, backend] : aContext.mState.mBackends) {
    if (backend.mMissingSince) {
      backend.mMissingSince = aContext.mNow;
    }
  }
}

void
RemoveMissingServers(Context& aContext)
{
  std::vector<ServerId> gone;
  for (const auto& [id, backend] : aContext.mState.mBackends) {
    if (backend.mMissingSince &&
        aContext.mNow - *backend.mMissingSince > kMissingEntryGrace) {
      gone.push_back(id);
    }
  }
  for (const ServerId id : gone) {
    // If a server's clock had gone back before its last start, the hidden entry
    // is the one to use.
    if (aContext.mState.mBackends.at(id).mHidesEntry) {
      RereadTable(aContext, Table::Servers);
    }
    RemoveServer(aContext, id);
  }
}

}
