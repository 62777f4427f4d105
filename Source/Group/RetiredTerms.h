#pragma once

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

/// Notes that the store has a term of a group as retired.
void NoteRetiredTerm(Context& aContext, const std::string& aGroup, Term aTerm);

/// Notes which term of a group is to be retired before the promotion that its
/// takeover is going to order, and has it recorded with the lease at once.
void RetireTerm(Context& aContext, Group& aGroup);

/// Notes since when the store's record of a group has the term that its
/// takeover retires; to be called when the known record has changed.
void NoteRetirement(Context& aContext, Group& aGroup);

}
