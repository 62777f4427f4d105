#include "Load/ReadOracle.h"

#include <algorithm>

namespace camphorstep {

std::uint64_t
ReadOracle::NextVersion(const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  return ++mLastVersions[aKey];
}

void
ReadOracle::Acknowledge(const std::string& aKey,
                        std::uint64_t aVersion,
                        LoadClock::time_point aAt)
{
  const std::lock_guard lock(mMutex);
  mAcknowledged[aKey].push_back({ aVersion, aAt });
}

void
ReadOracle::JudgeAge(const std::string& aKey,
                     std::uint64_t aVersion,
                     LoadClock::time_point aReadSentAt,
                     Duration aMaxAge)
{
  const std::lock_guard lock(mMutex);
  const std::vector<Write>& writes = mAcknowledged[aKey];
  // The latest write that the read had to show.
  const auto due =
    std::find_if(writes.rbegin(), writes.rend(), [&](const Write& aWrite) {
      return aWrite.mAcknowledgedAt + aMaxAge <= aReadSentAt;
    });
  if (due != writes.rend() && due->mVersion > aVersion) {
    ++mStaleReads;
  }
}

void
ReadOracle::JudgeSession(std::size_t aSession,
                         const std::string& aKey,
                         std::uint64_t aVersion)
{
  const std::lock_guard lock(mMutex);
  if (aVersion < mSeen[{ aSession, aKey }]) {
    ++mSessionViolations;
  }
}

void
ReadOracle::NoteSeen(std::size_t aSession,
                     const std::string& aKey,
                     std::uint64_t aVersion)
{
  const std::lock_guard lock(mMutex);
  std::uint64_t& seen = mSeen[{ aSession, aKey }];
  seen = std::max(seen, aVersion);
}

std::uint64_t
ReadOracle::StaleReads() const
{
  const std::lock_guard lock(mMutex);
  return mStaleReads;
}

std::uint64_t
ReadOracle::SessionViolations() const
{
  const std::lock_guard lock(mMutex);
  return mSessionViolations;
}

}
