#include "Fleet/Reports.h"

#include <algorithm>
#include <utility>

#include "Catalogue/Peers.h"
#include "Fleet/Silence.h"
#include "Gateway/Tuning.h"
#include "Group/Evidence.h"
#include "Group/Promoter.h"
#include "Group/RetiredTerms.h"

namespace camphorstep::gateway {

namespace {

/// The answers of servers that come within this time are reported together.
constexpr Duration kReportDelay = 60ms;
/// More hosts than this are not made to wait, but answered at once.
constexpr std::size_t kMaxPendingQueries = 4'096;

std::vector<ServerReport>
ReportServers(const Context& aContext)
{
  std::vector<ServerReport> reports;
  for (const auto& [id, backend] : aContext.mState.mBackends) {
    const Duration age = aContext.mNow - backend.mStatusAskedAt;
    if (backend.mStatus && age < kEvidenceTimeout) {
      reports.push_back({ id, *backend.mStatus, backend.mApplied, age });
    }
  }
  return reports;
}

PeerReport
MakeReport(const Context& aContext, const PendingQuery& aPending)
{
  PeerReport report;
  report.mNumber = aPending.mQuery.mNumber;
  report.mHeld = aContext.mNow - aPending.mReceivedAt;
  report.mSequence = aContext.mState.mFleet.mSequence;
  report.mIsPromoter = HoldsPromoterLease(aContext);
  report.mServers = ReportServers(aContext);
  report.mTables = MakeTableReports(aContext, aPending.mQuery);
  report.mLease = MakeLeaseReport(aContext);
  report.mRetiredTerms = MakeRetiredTermsReport(aContext);
  return report;
}

void
Answer(Context& aContext, PeerLinkId aLink, const PendingQuery& aPending)
{
  Emit(aContext, SendPeerReport{ aLink, MakeReport(aContext, aPending) });
}

/// Whether the host knows something that it has not told the asking one.
bool
HasChanges(const Context& aContext, const PeerQuery& aQuery)
{
  return aQuery.mSequence < aContext.mState.mFleet.mSharedSequence ||
         HasTableChanges(aContext, aQuery);
}

}

void
HandlePeerAsked(Context& aContext, const PeerQueryReceived& aEvent)
{
  NoteSilentServers(aContext, aEvent.mQuery);
  FleetState& fleet = aContext.mState.mFleet;
  const PendingQuery held{ aEvent.mQuery, aContext.mNow };
  if (aEvent.mQuery.mMaxWait <= Duration{ 0 } ||
      HasChanges(aContext, aEvent.mQuery) ||
      fleet.mHeld.size() >= kMaxPendingQueries) {
    Answer(aContext, aEvent.mLink, held);
    return;
  }
  fleet.mHeld[aEvent.mLink] = held;
  aContext.mState.mTimers.ArmSooner(
    TimerKind::SendPeerReports,
    0,
    aContext.mNow + std::min(aEvent.mQuery.mMaxWait, kLongPollTimeout));
}

void
AnswerPendingQueries(Context& aContext)
{
  FleetState& fleet = aContext.mState.mFleet;
  fleet.mSharedSequence = fleet.mSequence;
  aContext.mState.mTimers.Cancel(TimerKind::SendPeerReports, 0);
  for (const auto& [link, held] : std::exchange(fleet.mHeld, {})) {
    Answer(aContext, link, held);
  }
}

void
ScheduleQueryAnswers(Context& aContext)
{
  if (!aContext.mState.mFleet.mHeld.empty()) {
    aContext.mState.mTimers.ArmSooner(
      TimerKind::SendPeerReports, 0, aContext.mNow + kReportDelay);
  }
}

void
ApplyReport(Context& aContext, const PeerReport& aReport, Instant aSentAt)
{
  // Servers first have to be known.
  ApplyTableReports(aContext, aReport, aSentAt);
  ApplyLeaseReport(aContext, aReport);
  ApplyRetiredTermsReport(aContext, aReport, aSentAt);
  for (const ServerReport& report : aReport.mServers) {
    Backend* const backend = Find(aContext.mState.mBackends, report.mServer);
    const Instant askedAt = aSentAt - std::max(report.mAge, Duration{ 0 });
    if (backend == nullptr || askedAt <= backend->mStatusAskedAt) {
      continue;
    }
    backend->mApplied = std::max(backend->mApplied, report.mApplied);
    ApplyStatus(aContext, *backend, report.mStatus, askedAt);
  }
}

}
