#include "Model/Profile.h"

#include <stdexcept>

#include "Common/NamedEnum.h"
#include "Model/IniReader.h"

namespace camphorstep {

namespace {

constexpr std::array kRankNames{
  EnumName<Rank>{ Rank::Urgent, "urgent" },
  EnumName<Rank>{ Rank::Normal, "normal" },
  EnumName<Rank>{ Rank::Background, "background" },
};

constexpr std::array kFreshnessNames{
  EnumName<Freshness>{ Freshness::Primary, "primary" },
  EnumName<Freshness>{ Freshness::ReadYourWrites, "read-your-writes" },
  EnumName<Freshness>{ Freshness::MaxAge, "max-age" },
};

constexpr std::array kDurabilityNames{
  EnumName<Durability>{ Durability::Primary, "primary" },
  EnumName<Durability>{ Durability::Replicated, "replicated" },
};

constexpr std::array kSchedulingNames{
  EnumName<Scheduling>{ Scheduling::Ranked, "ranked" },
  EnumName<Scheduling>{ Scheduling::ArrivalOrder, "arrival-order" },
};

constexpr std::array kSwitchNames{
  EnumName<bool>{ true, "on" },
  EnumName<bool>{ false, "off" },
};

constexpr std::array kLimitNames{
  EnumName<bool>{ true, "adaptive" },
  EnumName<bool>{ false, "fixed" },
};

constexpr std::int64_t kMaxDurationMs = 600'000;

void
ReadRank(const IniFile& aFile,
         const IniSection& aSection,
         Configuration& aConfiguration)
{
  const std::string name = aSection.mName.substr(sizeof("rank"));
  const std::optional<Rank> rank = ValueIn(kRankNames, name);
  if (!rank) {
    throw std::runtime_error(DescribeLine(
      aFile, aSection.mLine, "'" + name + "' is not a known rank"));
  }
  RankRules& rules = aConfiguration.mRanks[IndexOf(*rank)];
  IniReader reader(aFile, aSection);
  reader.Read("reserved_percent", rules.mReservedPercent, 0, 100);
  reader.Read("max_in_progress", rules.mMaxInProgress, 1, 100'000);
  reader.Read("max_queued", rules.mMaxQueued, 0, 100'000);
  reader.Read("max_transactions", rules.mMaxTransactions, 0, 10'000);
  reader.RefuseUnknownKeys();
}

void
ReadProfile(const IniFile& aFile,
            const IniSection& aSection,
            Configuration& aConfiguration)
{
  Profile profile;
  profile.mName = aSection.mName.substr(sizeof("profile"));
  IniReader reader(aFile, aSection);
  reader.Read("rank", profile.mRank, kRankNames);
  reader.Read("freshness", profile.mFreshness, kFreshnessNames);
  reader.ReadMilliseconds("max_age_ms", profile.mMaxAge, 1, kMaxDurationMs);
  reader.Read("durability", profile.mDurability, kDurabilityNames);
  reader.ReadMilliseconds("deadline_ms", profile.mDeadline, 1, kMaxDurationMs);
  reader.ReadMilliseconds(
    "replica_wait_ms", profile.mReplicaWait, 0, kMaxDurationMs);
  reader.ReadMilliseconds("transaction_idle_timeout_ms",
                          profile.mTransactionIdleTimeout,
                          1,
                          kMaxDurationMs);
  reader.Read("retry_max_attempts", profile.mRetry.mMaxAttempts, 1U, 20U);
  reader.ReadMilliseconds(
    "retry_initial_delay_ms", profile.mRetry.mInitialDelay, 1, kMaxDurationMs);
  reader.ReadMilliseconds(
    "retry_max_delay_ms", profile.mRetry.mMaxDelay, 1, kMaxDurationMs);
  reader.Read("retry_budget_percent", profile.mRetry.mBudgetPercent, 0, 100);
  reader.RefuseUnknownKeys();
  aConfiguration.mProfiles.emplace(profile.mName, profile);
}

void
ReadService(const IniFile& aFile,
            const IniSection& aSection,
            Configuration& aConfiguration)
{
  IniReader reader(aFile, aSection);
  const std::string profile = reader.Require("profile");
  reader.RefuseUnknownKeys();
  if (!aConfiguration.mProfiles.contains(profile)) {
    throw std::runtime_error(DescribeLine(aFile,
                                          aSection.mLine,
                                          "[" + aSection.mName +
                                            "] names the profile '" + profile +
                                            "', which does not exist"));
  }
  aConfiguration.mServices.emplace(aSection.mName.substr(sizeof("service")),
                                   profile);
}

void
ReadPolicy(const IniFile& aFile, Configuration& aConfiguration)
{
  const IniSection* const section = aFile.Find("policy");
  if (section == nullptr) {
    return;
  }
  LoadPolicy& policy = aConfiguration.mPolicy;
  IniReader reader(aFile, *section);
  reader.Read("scheduling", policy.mScheduling, kSchedulingNames);
  reader.Read("entry_refusal", policy.mEntryRefusal, kSwitchNames);
  reader.Read("concurrency_limit", policy.mAdaptiveLimit, kLimitNames);
  reader.Read("replica_reads", policy.mReplicaReads, kSwitchNames);
  reader.RefuseUnknownKeys();
}

void
CheckReservedShares(const IniFile& aFile, const Configuration& aConfiguration)
{
  int sum = 0;
  for (const RankRules& rules : aConfiguration.mRanks) {
    sum += rules.mReservedPercent;
  }
  if (sum > 100) {
    throw std::runtime_error(aFile.mPath +
                             ": the reserved shares of the ranks add up to " +
                             std::to_string(sum) + " percent");
  }
}

void
RefuseUnknownSections(const IniFile& aFile)
{
  for (const IniSection& section : aFile.mSections) {
    const bool known = section.mName.starts_with("rank.") ||
                       section.mName.starts_with("profile.") ||
                       section.mName.starts_with("service.") ||
                       section.mName == "policy";
    if (!known) {
      throw std::runtime_error(DescribeLine(
        aFile,
        section.mLine,
        "[" + section.mName + "] is not a section of a profile file"));
    }
  }
}

}

const Profile*
Configuration::FindForService(const std::string& aService) const
{
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return nullptr;
  }
  const auto it = mProfiles.find(service->second);
  return it == mProfiles.end() ? nullptr : &it->second;
}

Configuration
ParseConfiguration(const IniFile& aFile, std::uint64_t aVersion)
{
  RefuseUnknownSections(aFile);
  Configuration configuration;
  configuration.mVersion = aVersion;
  for (const IniSection* const section : aFile.FindAll("rank")) {
    ReadRank(aFile, *section, configuration);
  }
  for (const IniSection* const section : aFile.FindAll("profile")) {
    ReadProfile(aFile, *section, configuration);
  }
  for (const IniSection* const section : aFile.FindAll("service")) {
    ReadService(aFile, *section, configuration);
  }
  ReadPolicy(aFile, configuration);
  CheckReservedShares(aFile, configuration);
  return configuration;
}

std::string_view
NameOf(Rank aRank)
{
  return NameIn(kRankNames, aRank);
}

std::string_view
NameOf(Freshness aFreshness)
{
  return NameIn(kFreshnessNames, aFreshness);
}

}
