#include "Group/Outliers.h"

#include <cmath>
#include <vector>

#include "Backend/OutlierDetection.h"

namespace camphorstep::gateway {

namespace {

/// Ejects a server that is an outlier of its group, unless too many are
/// ejected already.
void
EjectIfOutlier(Context& aContext, Backend& aBackend)
{
  const Group* const group = Find(aContext.mState.mGroups, aBackend.mGroup);
  if (group == nullptr || aBackend.mOutcomes.mEjection) {
    return;
  }
  std::vector<OutcomeRecord> others;
  std::size_t ejected = 0;
  for (const ServerId id : group->mServers) {
    const Backend* const other = Find(aContext.mState.mBackends, id);
    if (other == nullptr || id == aBackend.mId) {
      continue;
    }
    others.push_back(other->mOutcomes);
    ejected += other->mOutcomes.mEjection ? 1 : 0;
  }
  const OutcomeRecord& record = aBackend.mOutcomes;
  if (!MayEject(others.size() + 1, ejected) ||
      !IsOutlier(record, others, aContext.mNow)) {
    return;
  }
  Log(aContext,
      LogSeverity::Warning,
      "backend server fails statements; it gets no new reads",
      { { "server", aBackend.mEntry.mName },
        { "group", group->mName },
        { "failed", std::to_string(std::lround(record.mFailed)) },
        { "served", std::to_string(std::lround(record.mServed)) } });
  ++aContext.mState.mCounters.mEjections;
  Eject(aBackend.mOutcomes, aContext.mNow);
}

}

void
NoteServed(Context& aContext, Backend& aBackend)
{
  RecordServed(aBackend.mOutcomes, aContext.mNow);
  if (!HasRecovered(aBackend.mOutcomes)) {
    return;
  }
  Log(
    aContext,
    LogSeverity::Info,
    "backend server serves statements; it gets reads again",
    { { "server", aBackend.mEntry.mName },
      { "trials", std::to_string(aBackend.mOutcomes.mEjection->mTrialsServed) },
      { "after_ms",
        Milliseconds(aContext.mNow - aBackend.mOutcomes.mEjection->mSince) } });
  ++aContext.mState.mCounters.mReadmissions;
  Readmit(aBackend.mOutcomes, aContext.mNow);
}

void
NoteFailed(Context& aContext, Backend& aBackend)
{
  RecordFailed(aBackend.mOutcomes, aContext.mNow);
  EjectIfOutlier(aContext, aBackend);
}

void
NoteUnanswered(Context& aContext, Backend& aBackend)
{
  RecordLost(aBackend.mOutcomes, aContext.mNow);
  EjectIfOutlier(aContext, aBackend);
}

}
