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

/// Whether the store's record of a group is the one that is needed, as far as
/// this host knows.
bool IsRecordStored(const Context& aContext, const Group& aGroup);

/// Returns the records of the groups for which the store's are out of date;
/// nothing if this host has not read them as the promoter.
std::vector<GroupRecord> RecordsToWrite(const Context& aContext);

/// Applies a write of records that the store has confirmed.
void ApplyWrittenRecords(Context& aContext,
                         const std::vector<GroupRecord>& aRecords);

/// Applies the records from a read of the fleet table that was sent at
/// aAskedAt.
void ApplyStoredRecords(Context& aContext,
                        const TableAnswer& aAnswer,
                        Instant aAskedAt);

}
