#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace camphorstep::soak {

using Clock = std::chrono::steady_clock;

/// What became of an attempt to write, as its caller knows it.
enum class Fate : std::uint8_t
{
  /// Sent and not answered yet, or without an answer that says anything.
  Unknown,
  Acknowledged,
  /// The answer promises that nothing is kept.
  NotKept,
};

/// A write, or the writes of one transaction; each has an item of its own.
struct Attempt
{
  std::vector<std::string> mItems;
  Fate mFate = Fate::Unknown;
  Clock::time_point mSettledAt;
};

/// Knows what all callers were told, and checks it against what the servers
/// did. All functions may be called from any thread.
class Ledger
{
public:
  /// Notes an attempt before it is sent.
  std::uint64_t Begin(std::vector<std::string> aItems);
  void Settle(std::uint64_t aAttempt, Fate aFate);

  /// An item whose write was acknowledged at least a time ago, or an empty
  /// text.
  std::string AcknowledgedItem(std::chrono::milliseconds aAge,
                               std::uint64_t aDraw) const;

  void Fail(const std::string& aRule, const std::string& aSeen);
  std::vector<std::string> Failures() const;

  /// Checks that a server's log has each write that was acknowledged.
  void CheckKept(const std::map<std::string, std::string>& aData);

  /// Checks how often each write took effect, and what the primary holds.
  void CheckEffects(const std::map<std::string, int>& aEffects,
                    const std::map<std::string, std::string>& aData);

  std::size_t Count(Fate aFate) const;

private:
  mutable std::mutex mMutex;
  std::map<std::uint64_t, Attempt> mAttempts;
  /// Acknowledged attempts in the order of their acknowledgement.
  std::vector<std::uint64_t> mAcknowledged;
  std::set<std::string> mFailures;
};

}
