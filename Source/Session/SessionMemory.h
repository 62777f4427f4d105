#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Sets a session value. Returns false, and leaves the session as it is, if it
/// would keep more than a session may.
bool KeepValue(const Context& aContext,
               Session& aSession,
               const Statement& aStatement);

/// Adds a prepared statement. Returns false, and leaves the session as it is,
/// if it would keep more than a session may.
bool KeepPrepared(const Context& aContext,
                  Session& aSession,
                  const Statement& aStatement);

void ForgetPrepared(Session& aSession, const std::string& aName);

/// The memory that a session takes: values, prepared statements, and statements
/// that are not answered, with their copies on the way to servers.
std::size_t MemoryOf(const Session& aSession);

/// Tells the shell what a session takes if it differs from what was last told
/// by more than a few kilobytes.
void ReportMemory(Context& aContext, Session& aSession);

/// What a connection to a server keeps of a value, or of a prepared statement.
std::size_t MemoryOfCopy(const std::string& aName, const std::string& aValue);

}
