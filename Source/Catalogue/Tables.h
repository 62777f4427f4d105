#pragma once

#include "Accounts/Access.h"
#include "Gateway/Context.h"
#include "Gateway/Event.h"

namespace camphorstep::gateway {

/// Whether all rows of a table are known.
bool IsTableKnown(const Context& aContext, Table aTable);

/// Whether this host knows what the store had in a table at a time or later.
bool IsTableConfirmedSince(const Context& aContext,
                           Table aTable,
                           Instant aTime);

/// How far the routes and client accounts in force can be relied on.
Confirmation ConfirmationOfRouting(const Context& aContext);

/// Whether the last call for a table failed; it is repeated after a delay.
bool IsTableFailing(const Context& aContext, Table aTable);

TableProgress& ProgressOf(Context& aContext, Table aTable);

/// Reads a table, or asks for its changes, unless that is underway.
void PollTable(Context& aContext, Table aTable);

/// Has a table's changes asked for now.
void PollTableSoon(Context& aContext, Table aTable);

/// Has the store called for a table at once, even if another host reports it.
void ConfirmTableSoon(Context& aContext, Table aTable);

/// Notes that a call to the store, made at a time, was not answered or refused.
void NoteFailedCall(Context& aContext, Instant aCalledAt);

/// Has a table read as a whole.
void RereadTable(Context& aContext, Table aTable);

void HandleTableAnswer(Context& aContext, const TableAnswer& aAnswer);

/// Takes rows into account, which the store or another host has given.
void ApplyRows(Context& aContext, const TableAnswer& aAnswer);

/// Notes that the store had nothing newer than a version at a time. Comes
/// before the rows of that version are taken, since servers are given time to
/// return if the store was away.
void NoteConfirmed(Context& aContext,
                   Table aTable,
                   StoreVersion aVersion,
                   Instant aAt);

/// Writes this host's entry until the store has it.
void RegisterHost(Context& aContext);

void HandleStoreWritten(Context& aContext, const StoreWritten& aEvent);

}
