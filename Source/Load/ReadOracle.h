#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Load/Stream.h"

namespace camphorstep {

/// Knows every write of a run and judges what reads return. Each key has one
/// writer, which writes growing numbers one after the other. Thread-safe.
class ReadOracle
{
public:
  /// The number of the next write of a key.
  std::uint64_t NextVersion(const std::string& aKey);

  /// A write was acknowledged.
  void Acknowledge(const std::string& aKey,
                   std::uint64_t aVersion,
                   LoadClock::time_point aAt);

  /// Judges a read that accepts data of an age: it is stale if it lacks a
  /// write that was acknowledged longer than that before the read was sent.
  /// The write happened before its acknowledgement and the read after its
  /// sending, so whatever is called stale is older than allowed for certain.
  void JudgeAge(const std::string& aKey,
                std::uint64_t aVersion,
                LoadClock::time_point aReadSentAt,
                Duration aMaxAge);

  /// Judges a read of a session: it must show the session's acknowledged
  /// writes and never less than the session has seen.
  void JudgeSession(std::size_t aSession,
                    const std::string& aKey,
                    std::uint64_t aVersion);

  /// Notes what a session has written or seen.
  void NoteSeen(std::size_t aSession,
                const std::string& aKey,
                std::uint64_t aVersion);

  std::uint64_t StaleReads() const;
  std::uint64_t SessionViolations() const;

private:
  struct Write
  {
    std::uint64_t mVersion = 0;
    LoadClock::time_point mAcknowledgedAt;
  };

  mutable std::mutex mMutex;
  std::map<std::string, std::uint64_t> mLastVersions;
  std::map<std::string, std::vector<Write>> mAcknowledged;
  std::map<std::pair<std::size_t, std::string>, std::uint64_t> mSeen;
  std::uint64_t mStaleReads = 0;
  std::uint64_t mSessionViolations = 0;
};

}
