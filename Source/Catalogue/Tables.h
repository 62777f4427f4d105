#pragma once

#include "Gateway/Context.h"
#include "Gateway/Event.h"

namespace camphorstep::gateway {

/// Whether all rows of a table have been read.
bool IsTableKnown(const Context& aContext, Table aTable);

/// Reads a table, or asks for its changes, unless that is underway.
void PollTable(Context& aContext, Table aTable);

/// Has a table's changes asked for now.
void HastenPoll(Context& aContext, Table aTable);

/// Has a table read as a whole.
void RereadTable(Context& aContext, Table aTable);

void HandleTableAnswer(Context& aContext, const TableAnswer& aAnswer);

/// Writes this host's entry until the store has it.
void RegisterHost(Context& aContext);

void HandleStoreWritten(Context& aContext, const StoreWritten& aEvent);

}
