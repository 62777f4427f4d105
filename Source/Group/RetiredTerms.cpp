#include "Group/RetiredTerms.h"

#include <algorithm>

#include "Gateway/Tuning.h"
#include "Group/Evidence.h"
#include "Group/Fencing.h"
#include "Group/Promoter.h"

namespace camphorstep::gateway {

namespace {

/// How long reports name the retired terms after one was retired: until a
/// promotion has taken effect.
constexpr Duration kReportTime = 5s;
/// How long a host goes on naming them after a report that did.
constexpr Duration kPassOnTime = 1s;

/// Whether this host is the promoter and has read the groups' records. Then no
/// other host retires a term.
bool
RetiresTerms(const Context& aContext)
{
  return HoldsPromoterLease(aContext) &&
         aContext.mState.mPromoter.mHasReadRecords;
}

Instant
ConfirmedAt(const Context& aContext)
{
  return RetiresTerms(aContext)
           ? aContext.mNow
           : aContext.mState.mCatalogue.mRetiredTerms.mConfirmedAt;
}

bool
IsReplacingPrimary(const Context& aContext)
{
  const auto& groups = aContext.mState.mGroups;
  return std::any_of(groups.begin(), groups.end(), [](const auto& aEntry) {
    return aEntry.second.mTakeover.mPhase != TakeoverPhase::None;
  });
}

}

Term
RetiredTermOf(const Context& aContext, const Group& aGroup)
{
  const Term* const term =
    Find(aContext.mState.mCatalogue.mRetiredTerms.mTerms, aGroup.mName);
  return term == nullptr ? 0 : *term;
}

bool
IsTermRetired(const Context& aContext, const Group& aGroup)
{
  return aGroup.mTerm != 0 && aGroup.mTerm <= RetiredTermOf(aContext, aGroup);
}

bool
AreOrdersKnown(const Context& aContext, Instant aTime)
{
  return ConfirmedAt(aContext) >= aTime - kRetirementLead;
}

void
ConfirmRetiredTerms(Context& aContext, Instant aTime, StoreVersion aVersion)
{
  RetiredTerms& retired = aContext.mState.mCatalogue.mRetiredTerms;
  retired.mVersion = std::max(retired.mVersion, aVersion);
  if (aTime > retired.mConfirmedAt) {
    retired.mConfirmedAt = aTime;
    RefreshEvidence(aContext);
  }
}

std::optional<RetiredTermsReport>
MakeRetiredTermsReport(const Context& aContext)
{
  const RetiredTerms& retired = aContext.mState.mCatalogue.mRetiredTerms;
  if (aContext.mNow >= retired.mReportedUntil &&
      !IsReplacingPrimary(aContext)) {
    return std::nullopt;
  }
  RetiredTermsReport report;
  report.mVersion = retired.mVersion;
  report.mAge = aContext.mNow - ConfirmedAt(aContext);
  for (const auto& [group, term] : retired.mTerms) {
    report.mTerms.push_back({ group, term });
  }
  return report;
}

void
ApplyRetiredTermsReport(Context& aContext,
                        const PeerReport& aReport,
                        Instant aSentAt)
{
  if (!aReport.mRetiredTerms) {
    return;
  }
  for (const RetiredTerm& retired : aReport.mRetiredTerms->mTerms) {
    NoteRetiredTerm(aContext, retired.mGroup, retired.mTerm);
  }
  Instant& until = aContext.mState.mCatalogue.mRetiredTerms.mReportedUntil;
  until = std::max(until, aContext.mNow + kPassOnTime);
  ConfirmRetiredTerms(aContext,
                      aSentAt -
                        std::max(aReport.mRetiredTerms->mAge, Duration{ 0 }),
                      aReport.mRetiredTerms->mVersion);
}

void
NoteRetiredTerm(Context& aContext, const std::string& aGroup, Term aTerm)
{
  if (aTerm == 0) {
    return;
  }
  RetiredTerms& retired = aContext.mState.mCatalogue.mRetiredTerms;
  Term& known = retired.mTerms[aGroup];
  if (aTerm <= known) {
    return;
  }
  known = aTerm;
  const Group* const group =
    Find(aContext.mState.mGroups, IdOf<GroupId>(aGroup));
  Log(aContext,
      LogSeverity::Info,
      "a term is retired",
      { { "group", aGroup },
        { "retired_term", std::to_string(aTerm) },
        { "term", std::to_string(group == nullptr ? 0 : group->mTerm) } });
  if (HoldsPromoterLease(aContext)) {
    retired.mReportedUntil = aContext.mNow + kReportTime;
  }
  ++aContext.mState.mFleet.mSequence;
  aContext.mState.mTimers.ArmSooner(
    TimerKind::SendPeerReports, 0, aContext.mNow);
}

Term
TermToRetire(const Context& aContext, const Group& aGroup, Instant aSince)
{
  const Takeover& takeover = aGroup.mTakeover;
  const Term known = std::max(aGroup.mTerm, takeover.mOldTerm);
  return AreAllPaused(aContext, aGroup, aSince)
           ? known
           : std::max(known, takeover.mUnseenTerm);
}

void
RetireTerm(Context& aContext, Group& aGroup, Term aTerm)
{
  Takeover& takeover = aGroup.mTakeover;
  takeover.mRetiredTerm = std::max(takeover.mRetiredTerm, aTerm);
  takeover.mRetiredAt.reset();
  NoteRetirement(aContext, aGroup);
  MaintainPromoterLease(aContext);
}

void
NoteRetirement(Context& aContext, Group& aGroup)
{
  Takeover& takeover = aGroup.mTakeover;
  const GroupRecord* const stored =
    Find(aContext.mState.mPromoter.mStoredRecords, aGroup.mName);
  if (stored == nullptr || stored->mRetiredTerm < takeover.mRetiredTerm) {
    takeover.mRetiredAt.reset();
  } else if (takeover.mRetiredTerm != 0 && !takeover.mRetiredAt) {
    takeover.mRetiredAt = aContext.mNow;
  }
}

}
