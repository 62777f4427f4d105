#pragma once

#include <vector>

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// The servers that hold copies of a group's data: every acknowledged write is
/// on at least two of them. These are the listed servers, and those that are no
/// longer listed until a listed replica has what they may have acknowledged.

/// The number of copies of a group's data.
std::size_t CountCopies(const Group& aGroup);

/// Notes that a server is listed. If it is a former one, or uses the log of a
/// former one at its address, the copy is available again. Returns whether the
/// server itself was listed before.
bool NoteListedCopy(Group& aGroup, const ServerEntry& aEntry);

/// Notes that a server is no longer listed.
void NoteFormerCopy(Context& aContext, Group& aGroup, const Backend& aBackend);

/// Stops counting former copies that are not needed any longer: a listed
/// replica has all writes that the primary had after the server was gone. The
/// promoter counts them until the store has the smaller list, so that another
/// promoter does not count more.
void DropFormerCopies(Context& aContext, Group& aGroup);

/// Returns the copies of the groups whose list in the store is out of date;
/// nothing if this host has not read the lists as the promoter.
std::vector<GroupCopies> CopiesToRecord(const Context& aContext);

/// Applies a write of lists that the store has confirmed.
void ApplyRecordedCopies(Context& aContext,
                         const std::vector<GroupCopies>& aGroups);

/// Applies the lists from a read of the whole fleet table that was sent at
/// aAskedAt.
void ApplyStoredCopies(Context& aContext,
                       const TableAnswer& aAnswer,
                       Instant aAskedAt);

}
