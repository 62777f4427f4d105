#include "Backend/Preparation.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "Backend/Pool.h"
#include "Common/Hash.h"
#include "Session/SessionMemory.h"

namespace camphorstep::gateway {

namespace {

constexpr int kResetCost = 100;
/// What all connections together, and each of them, may keep of values and
/// prepared statements while they serve no session, in bytes. With very many
/// connections each may keep the least.
constexpr std::size_t kMaxAllCopies = 16 * 1024 * 1024;
constexpr std::size_t kMaxIdleCopies = 64 * 1024;
constexpr std::size_t kMinIdleCopies = 4 * 1024;

/// Whether a connection holds a value that the session does not.
bool
HasForeignValue(const Link& aLink, const Session& aSession)
{
  return std::any_of(
    aLink.mValues.begin(), aLink.mValues.end(), [&](const auto& aValue) {
      return !aSession.mValues.contains(aValue.first);
    });
}

bool
HasValue(const Link& aLink, const std::string& aName, const std::string& aValue)
{
  const auto it = aLink.mValues.find(aName);
  return it != aLink.mValues.end() && it->second == aValue;
}

}

int
PreparationCost(const Link& aLink, const Session& aSession)
{
  const bool mustReset = HasForeignValue(aLink, aSession);
  int cost = mustReset ? kResetCost : 0;
  for (const auto& [name, value] : aSession.mValues) {
    cost += !mustReset && HasValue(aLink, name, value) ? 0 : 1;
  }
  return cost;
}

void
PrepareLink(Context& aContext,
            Link& aLink,
            const Session& aSession,
            const Statement& aStatement)
{
  if (HasForeignValue(aLink, aSession)) {
    ResetLink(aContext, aLink);
  }
  for (const auto& [name, value] : aSession.mValues) {
    if (HasValue(aLink, name, value)) {
      continue;
    }
    const auto [copy, isNew] = aLink.mValues.try_emplace(name);
    aLink.mCopiedBytes +=
      isNew ? MemoryOfCopy(name, value) : value.size() - copy->second.size();
    copy->second = value;
    BackendRequest request;
    request.mVerb = BackendVerb::SetValue;
    request.mName = name;
    request.mArgument = value;
    SendRequest(aContext, aLink, request, ExchangeKind::Preparation);
  }
  if (aStatement.mKind != StatementKind::Execute) {
    return;
  }
  const auto it = aSession.mPrepared.find(aStatement.mName);
  if (it == aSession.mPrepared.end() ||
      !aLink.mPrepared.insert(it->second).second) {
    return;
  }
  aLink.mCopiedBytes += MemoryOfCopy({}, it->second.mShape);
  BackendRequest request;
  request.mVerb = BackendVerb::Prepare;
  request.mName = ServerSideName(it->second);
  request.mArgument = it->second.mShape;
  request.mWrites = it->second.mWrites;
  SendRequest(aContext, aLink, request, ExchangeKind::Preparation);
}

void
ResetLink(Context& aContext, Link& aLink)
{
  aLink.mValues.clear();
  aLink.mPrepared.clear();
  aLink.mCopiedBytes = 0;
  BackendRequest request;
  request.mVerb = BackendVerb::Reset;
  SendRequest(aContext, aLink, request, ExchangeKind::Preparation);
}

bool
KeepsTooMuch(const Context& aContext, const Link& aLink)
{
  const std::size_t links =
    std::max<std::size_t>(1, aContext.mState.mLinks.size());
  return aLink.mCopiedBytes >
         std::clamp(kMaxAllCopies / links, kMinIdleCopies, kMaxIdleCopies);
}

std::string
ServerSideName(const PreparedStatement& aPrepared)
{
  const std::uint64_t hash =
    Hash64((aPrepared.mWrites ? "w" : "r") + aPrepared.mShape);
  std::array<char, 20> buf{};
  std::snprintf(
    buf.data(), buf.size(), "p%016llx", static_cast<unsigned long long>(hash));
  return buf.data();
}

}
