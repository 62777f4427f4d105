#include "Fleet/Reports.h"

#include <algorithm>
#include <utility>

#include "Catalogue/Peers.h"
#include "Fleet/Silence.h"
#include "Gateway/Tuning.h"
#include "Group/Evidence.h"
#include "Group/Promoter.h"

namespace camphorstep::gateway {

namespace {

/// The answers of servers that come within this time are reported together.
constexpr Duration kReportDelay = 60ms;
/// More hosts than this are not made to wait, but answered at once.
constexpr std::size_t kMaxHeldQueries = 4'096;

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
MakeReport(const Context& aContext, const HeldQuery& aHeld)
{
  PeerReport report;
  report.mNumber = aHeld.mQuery.mNumber;
  report.mHeld = aContext.mNow - aHeld.mReceivedAt;
  report.mSequence = aContext.mState.mFleet.mSequence;
  report.mIsPromoter = HoldsPromoterLease(aContext);
  report.mServers = ReportServers(aContext);
  report.mTables = ReportTables(aContext, aHeld.mQuery);
  report.mLease = ReportLease(aContext);
  return report;
}

void
Answer(Context& aContext, PeerLinkId aLink, const HeldQuery& aHeld)
{
  Emit(aContext, SendPeerReport{ aLink, MakeReport(aContext, aHeld) });
}

/// Whether the host knows something that it has not told the asking one.
bool
HasNews(const Context& aContext, const PeerQuery& aQuery)
{
  return aQuery.mSequence < aContext.mState.mFleet.mSharedSequence ||
         HasTableNews(aContext, aQuery);
}

}

void
HandlePeerAsked(Context& aContext, const PeerQueryReceived& aEvent)
{
  NoteSilentServers(aContext, aEvent.mQuery);
  FleetState& fleet = aContext.mState.mFleet;
  const HeldQuery held{ aEvent.mQuery, aContext.mNow };
  if (aEvent.mQuery.mMaxWait <= Duration{ 0 } ||
      HasNews(aContext, aEvent.mQuery) ||
      fleet.mHeld.size() >= kMaxHeldQueries) {
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
ShareNews(Context& aContext)
{
  FleetState& fleet = aContext.mState.mFleet;
  fleet.mSharedSequence = fleet.mSequence;
  aContext.mState.mTimers.Cancel(TimerKind::SendPeerReports, 0);
  for (const auto& [link, held] : std::exchange(fleet.mHeld, {})) {
    Answer(aContext, link, held);
  }
}

void
ShareNewsSoon(Context& aContext)
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
  ApplyTableNews(aContext, aReport, aSentAt);
  ApplyLeaseNews(aContext, aReport);
  for (const ServerReport& report : aReport.mServers) {
    Backend* const backend = Find(aContext.mState.mBackends, report.mServer);
    const Instant askedAt = aSentAt - std::max(report.mAge, Duration{ 0 });
    if (backend == nullptr || askedAt <= backend->mStatusAskedAt) {
      continue;
    }
    backend->mApplied = std::max(backend->mApplied, report.mApplied);
    TakeStatus(aContext, *backend, report.mStatus, askedAt);
  }
}

}
