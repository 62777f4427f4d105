#include "Session/SessionMemory.h"

namespace camphorstep::gateway {

namespace {

/// What an item of a map takes besides its texts.
constexpr std::size_t kItemBytes = 160;
/// A value is in the session, on the connection that serves it, and on the way
/// to the server.
constexpr std::size_t kCopiesOfValue = 3;
/// A statement is in the session and on the way to the server.
constexpr std::size_t kCopiesOfStatement = 2;
/// Smaller changes are not told, so that ordinary statements tell none.
constexpr std::size_t kReportedChange = 8 * 1024;

std::size_t
Distance(std::size_t aFirst, std::size_t aSecond)
{
  return aFirst > aSecond ? aFirst - aSecond : aSecond - aFirst;
}

std::size_t
MemoryOf(const Statement& aStatement)
{
  return sizeof(Statement) +
         kCopiesOfStatement *
           (aStatement.mId.size() + aStatement.mText.size() +
            aStatement.mName.size() + aStatement.mArgument.size());
}

/// Whether a session may keep an item that takes some bytes, in place of one
/// that took others.
bool
MayKeep(const Context& aContext,
        const Session& aSession,
        std::size_t aOld,
        std::size_t aNew)
{
  const std::size_t limit = aContext.mState.mSelf.mMaxSessionBytes;
  const std::size_t kept = aSession.mValueBytes + aSession.mPreparedBytes;
  return limit == 0 || aNew <= aOld || kept - aOld + aNew <= limit;
}

}

std::size_t
MemoryOfCopy(const std::string& aName, const std::string& aValue)
{
  return kItemBytes + aName.size() + aValue.size();
}

bool
KeepValue(const Context& aContext,
          Session& aSession,
          const Statement& aStatement)
{
  const auto* const old = Find(aSession.mValues, aStatement.mName);
  const std::size_t oldBytes =
    old == nullptr ? 0 : MemoryOfCopy(aStatement.mName, *old);
  const std::size_t newBytes =
    MemoryOfCopy(aStatement.mName, aStatement.mArgument);
  if (!MayKeep(aContext, aSession, oldBytes, newBytes)) {
    return false;
  }
  aSession.mValueBytes += newBytes - oldBytes;
  aSession.mValues[aStatement.mName] = aStatement.mArgument;
  return true;
}

bool
KeepPrepared(const Context& aContext,
             Session& aSession,
             const Statement& aStatement)
{
  const auto* const old = Find(aSession.mPrepared, aStatement.mName);
  const std::size_t oldBytes =
    old == nullptr ? 0 : MemoryOfCopy(aStatement.mName, old->mShape);
  const std::size_t newBytes =
    MemoryOfCopy(aStatement.mName, aStatement.mArgument);
  if (!MayKeep(aContext, aSession, oldBytes, newBytes)) {
    return false;
  }
  aSession.mPreparedBytes += newBytes - oldBytes;
  aSession.mPrepared[aStatement.mName] = { aStatement.mWrites,
                                           aStatement.mArgument };
  return true;
}

void
ForgetPrepared(Session& aSession, const std::string& aName)
{
  const auto it = aSession.mPrepared.find(aName);
  if (it != aSession.mPrepared.end()) {
    aSession.mPreparedBytes -= MemoryOfCopy(aName, it->second.mShape);
    aSession.mPrepared.erase(it);
  }
}

std::size_t
MemoryOf(const Session& aSession)
{
  std::size_t bytes =
    kCopiesOfValue * aSession.mValueBytes + aSession.mPreparedBytes;
  if (aSession.mActive) {
    bytes += MemoryOf(aSession.mActive->mStatement);
  }
  for (const Statement& statement : aSession.mPipeline) {
    bytes += MemoryOf(statement);
  }
  return bytes;
}

void
ReportMemory(Context& aContext, Session& aSession)
{
  const std::size_t bytes = MemoryOf(aSession);
  if (Distance(bytes, aSession.mReportedBytes) < kReportedChange) {
    return;
  }
  aSession.mReportedBytes = bytes;
  Emit(aContext, ReportSessionMemory{ aSession.mId, bytes });
}

}
