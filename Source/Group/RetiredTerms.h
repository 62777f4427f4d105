#pragma once

#include <optional>
#include <string>

#include "Gateway/Context.h"

namespace camphorstep::gateway {

using namespace std::chrono_literals;

/// How long a term has been retired, at the least, when a promotion is ordered.
/// It is a little shorter than the time in which all evidence expires, so that
/// the write of the record does not add to that time.
constexpr Duration kRetirementLead = 900ms;

/// A term of a group is retired once the store has a record that its primary
/// may have been replaced. A promoter orders no promotion before that, so
/// whoever has read the record knows of every order, whatever has become of the
/// promoter. A retired term stays retired, and so do the terms before it.

/// The newest retired term of a group that this host knows of; zero if there is
/// none.
Term RetiredTermOf(const Context& aContext, const Group& aGroup);

/// Whether the term of the group's known primary is retired.
bool IsTermRetired(const Context& aContext, const Group& aGroup);

/// Whether a promotion that replaces the group's known term, and had been
/// ordered before aTime, would be known here: the retired terms have been
/// confirmed late enough. On the promoter they always are.
bool AreOrdersKnown(const Context& aContext, Instant aTime);

/// Notes that this host knows all terms that were retired at a time, and that
/// are recorded up to a version of the fleet table.
void ConfirmRetiredTerms(Context& aContext,
                         Instant aTime,
                         StoreVersion aVersion);

/// What a report tells of the retired terms: nothing, unless a primary is being
/// replaced or was a short time ago.
std::optional<RetiredTermsReport> MakeRetiredTermsReport(
  const Context& aContext);

/// Applies what a report tells that was sent at aSentAt.
void ApplyRetiredTermsReport(Context& aContext,
                             const PeerReport& aReport,
                             Instant aSentAt);

/// Notes that the store has a term of a group as retired.
void NoteRetiredTerm(Context& aContext, const std::string& aGroup, Term aTerm);

/// The term that has to be retired before a group's takeover orders a
/// promotion: the newest known one, or the newest that may exist, unless the
/// takeover has seen at or after aSince that nobody leads it.
Term TermToRetire(const Context& aContext, const Group& aGroup, Instant aSince);

/// Notes that a group's takeover needs a term retired, and has it recorded with
/// the lease at once.
void RetireTerm(Context& aContext, Group& aGroup, Term aTerm);

/// Notes since when the store's record of a group has the term that its
/// takeover retires; to be called when the known record has changed.
void NoteRetirement(Context& aContext, Group& aGroup);

}
