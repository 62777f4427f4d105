#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "Common/IniFile.h"
#include "Common/Time.h"

namespace camphorstep {

/// Ranks of work, the most urgent first.
enum class Rank : std::uint8_t
{
  Urgent,
  Normal,
  Background
};

constexpr std::size_t kRankCount = 3;
constexpr std::array<Rank, kRankCount> kRanks{ Rank::Urgent,
                                               Rank::Normal,
                                               Rank::Background };

/// The place of a rank in arrays that hold one item for each.
constexpr std::size_t
IndexOf(Rank aRank)
{
  return static_cast<std::size_t>(aRank);
}

/// What a read may return.
enum class Freshness : std::uint8_t
{
  Primary,
  ReadYourWrites,
  MaxAge
};

/// When a write is acknowledged: by the primary alone, or once another
/// voter of the group reports its log position.
enum class Durability : std::uint8_t
{
  Primary,
  Replicated
};

/// How often and how fast idempotent requests are tried again.
struct RetryRules
{
  std::uint32_t mMaxAttempts = 3;
  Duration mInitialDelay{ 20'000 };
  Duration mMaxDelay{ 1'000'000 };
  /// Retries allowed per hundred first attempts of the service.
  int mBudgetPercent = 10;
};

/// A named set of rules that services pick.
struct Profile
{
  std::string mName;
  Rank mRank = Rank::Normal;
  Freshness mFreshness = Freshness::ReadYourWrites;
  /// The greatest age of data when mFreshness is MaxAge.
  Duration mMaxAge{ 2'000'000 };
  Durability mDurability = Durability::Replicated;
  /// The deadline of requests that state none.
  Duration mDeadline{ 5'000'000 };
  /// How long a read may wait for a replica to catch up.
  Duration mReplicaWait{ 50'000 };
  /// After this long without a statement a transaction is rolled back.
  Duration mTransactionIdleTimeout{ 10'000'000 };
  RetryRules mRetry;
};

/// Limits and shares of one rank.
struct RankRules
{
  /// Share of a server's slots that other ranks cannot take, in percent.
  int mReservedPercent = 10;
  /// Requests in progress at one entry host.
  int mMaxInProgress = 64;
  /// Requests waiting at one dispatcher.
  int mMaxQueued = 200;
  /// Open transactions at one dispatcher.
  int mMaxTransactions = 8;
};

/// The order in which a dispatcher runs what waits.
enum class Scheduling : std::uint8_t
{
  /// Reserved shares, then the most urgent rank, fair among services.
  Ranked,
  ArrivalOrder
};

/// How a fleet treats load. The defaults are for use; the others are what
/// the project measures itself against.
struct LoadPolicy
{
  Scheduling mScheduling = Scheduling::Ranked;
  /// Whether entries refuse what a dispatcher has said it cannot take.
  bool mEntryRefusal = true;
  /// Whether the concurrency limit of a server follows its latency.
  bool mAdaptiveLimit = true;
  bool mReplicaReads = true;
};

/// One version of what operators publish: profiles, the profile of each
/// service, and the rules of the ranks.
struct Configuration
{
  std::uint64_t mVersion = 0;
  std::unordered_map<std::string, Profile> mProfiles;
  /// Service name to profile name.
  std::unordered_map<std::string, std::string> mServices;
  std::array<RankRules, kRankCount> mRanks;
  LoadPolicy mPolicy;

  /// Finds the profile that a service has picked, or nullptr.
  const Profile* FindForService(const std::string& aService) const;
};

/// Reads a configuration from INI text with the sections [rank.NAME],
/// [profile.NAME], [service.NAME] and [policy]. Throws std::runtime_error
/// naming file and line for unknown keys, values out of range and dangling
/// references.
Configuration ParseConfiguration(const IniFile& aFile, std::uint64_t aVersion);

std::string_view NameOf(Rank aRank);

std::string_view NameOf(Freshness aFreshness);

}
