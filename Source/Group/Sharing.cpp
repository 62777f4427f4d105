#include "Group/Sharing.h"

#include <algorithm>

#include "Catalogue/Tables.h"
#include "Gateway/Tuning.h"
#include "Group/Evidence.h"
#include "Group/Promoter.h"

namespace camphorstep::gateway {

namespace {

/// A host's word that a server is silent counts for this long.
constexpr Duration kSilenceReportTime = 1'500ms;

std::vector<ServerId>
SilentServers(const Context& aContext)
{
  std::vector<ServerId> silent;
  for (const auto& [id, backend] : aContext.mState.mBackends) {
    if (backend.mSilentAt > backend.mHeardAt &&
        aContext.mNow - backend.mSilentAt < kSilenceReportTime) {
      silent.push_back(id);
    }
  }
  return silent;
}

ServerReport
ReportOf(const Context& aContext, const Backend& aBackend)
{
  const BackendStatus& status = *aBackend.mStatus;
  ServerReport report;
  report.mServer = aBackend.mId;
  report.mPrimary = status.mPrimary;
  report.mTerm = status.mTerm;
  report.mReceived = status.mReceived;
  report.mApplied = aBackend.mApplied;
  report.mPausedBy = status.mPausedBy;
  report.mLag = status.mLag;
  report.mBusySlots = status.mBusySlots;
  report.mConnections = status.mConnections;
  report.mAge = aContext.mNow - aBackend.mStatusAskedAt;
  return report;
}

/// Looks at the store at once when the promoter falls silent.
void
NoteSilentPromoter(Context& aContext)
{
  StatusSharing& sharing = aContext.mState.mSharing;
  if (sharing.mHearsPromoter && !HearsPromoter(aContext)) {
    sharing.mHearsPromoter = false;
    Log(aContext,
        LogSeverity::Info,
        "the promoter is silent",
        { { "holder", aContext.mState.mPromoter.mLease.mHolder },
          { "silent_ms", Milliseconds(aContext.mNow - sharing.mReportedAt) } });
    HastenPoll(aContext, Table::Fleet);
    HastenPoll(aContext, Table::Servers);
  }
}

BackendStatus
StatusOf(const ServerReport& aReport)
{
  BackendStatus status;
  status.mPrimary = aReport.mPrimary;
  status.mTerm = aReport.mTerm;
  status.mReceived = aReport.mReceived;
  status.mPausedBy = aReport.mPausedBy;
  status.mLag = aReport.mLag;
  status.mBusySlots = aReport.mBusySlots;
  status.mConnections = aReport.mConnections;
  return status;
}

}

void
AskPromoter(Context& aContext)
{
  State& state = aContext.mState;
  state.mTimers.Arm(TimerKind::AskPromoter, 0, aContext.mNow + kShareInterval);
  NoteSilentPromoter(aContext);
  const HostEntry* const promoter =
    Find(state.mCatalogue.mHosts, state.mPromoter.mLease.mHolder);
  if (promoter == nullptr || promoter->mName == state.mSelf.mEntry.mName) {
    return;
  }
  StatusSharing& sharing = state.mSharing;
  sharing.mAskedAt = aContext.mNow;
  Emit(aContext,
       AskPeer{ promoter->mPeerAddress,
                { ++sharing.mQueries,
                  state.mSelf.mEntry.mName,
                  SilentServers(aContext) } });
}

void
HandlePeerAsked(Context& aContext, const PeerAsked& aEvent)
{
  State& state = aContext.mState;
  for (const ServerId id : aEvent.mQuery.mSilent) {
    state.mSharing.mSilentTo[id][aEvent.mQuery.mHost] = aContext.mNow;
  }
  StatusReport report;
  report.mNumber = aEvent.mQuery.mNumber;
  // Only the host that asks the servers all the time has news.
  if (HoldsPromoterLease(aContext)) {
    for (const auto& [id, backend] : state.mBackends) {
      if (backend.mStatus &&
          aContext.mNow - backend.mStatusAskedAt < kLeaseTime) {
        report.mServers.push_back(ReportOf(aContext, backend));
      }
    }
  }
  Emit(aContext, AnswerPeer{ aEvent.mLink, std::move(report) });
}

void
HandlePeerReported(Context& aContext, const StatusReport& aReport)
{
  StatusSharing& sharing = aContext.mState.mSharing;
  if (!aReport.mServers.empty()) {
    sharing.mReportedAt = aContext.mNow;
    sharing.mHearsPromoter = true;
  }
  if (aReport.mNumber != sharing.mQueries) {
    // The age of a late report's statuses is not known.
    return;
  }
  for (const ServerReport& report : aReport.mServers) {
    Backend* const backend = Find(aContext.mState.mBackends, report.mServer);
    // The query was sent before the report, so this is the earliest time.
    const Instant askedAt = sharing.mAskedAt - report.mAge;
    if (backend == nullptr || askedAt <= backend->mStatusAskedAt) {
      continue;
    }
    backend->mApplied = std::max(backend->mApplied, report.mApplied);
    TakeStatus(aContext, *backend, StatusOf(report), askedAt);
  }
}

bool
HearsPromoter(const Context& aContext)
{
  return aContext.mNow - aContext.mState.mSharing.mReportedAt <
         kPromoterSilence;
}

bool
IsSilentToMany(const Context& aContext, ServerId aServer)
{
  const auto* const hosts = Find(aContext.mState.mSharing.mSilentTo, aServer);
  if (hosts == nullptr) {
    return false;
  }
  const auto n =
    std::count_if(hosts->begin(), hosts->end(), [&](const auto& aHost) {
      return aContext.mNow - aHost.second < kSilenceReportTime;
    });
  const std::size_t all = aContext.mState.mCatalogue.mHosts.size();
  return all >= 2 && 2 * static_cast<std::size_t>(n) >= all;
}

}
