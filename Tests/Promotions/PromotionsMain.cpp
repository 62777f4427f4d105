#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <set>
#include <string>

#include "Promotions/World.h"

namespace {

using namespace camphorstep::promotions;

/// What the command line asks for.
struct Options
{
  std::uint64_t mFirst = 1;
  std::uint64_t mSeeds = 60;
  bool mShrinks = true;
  /// Seeds that break a rule for a fault that is known and open. They are run
  /// with the others and printed, and do not count.
  std::set<std::uint64_t> mKnownRed;
  Rules mRules;
};

struct Totals
{
  std::size_t mFailures = 0;
  std::size_t mPromotions = 0;
  std::size_t mAcknowledged = 0;
};

int
PrintUsage()
{
  std::printf("camphorstep-promotions [--first SEED] [--seeds COUNT] [--trace] "
              "[--no-shrink]\n"
              "  [--known-red SEED]...     seeds that do not count\n"
              "  [--calls-outlive-sender]  orders arrive after they are given "
              "up\n"
              "  [--no-era-guard]          the lease's condition is a number "
              "alone\n"
              "  [--listing-ms TIME]       when a new server is listed, at the "
              "latest\n");
  return 2;
}

bool
ParseOptions(int aCount, char** aArguments, Options& aOptions)
{
  for (int n = 1; n < aCount; ++n) {
    const std::string name = aArguments[n];
    const bool hasValue = n + 1 < aCount;
    if (name == "--first" && hasValue) {
      aOptions.mFirst = std::strtoull(aArguments[++n], nullptr, 10);
    } else if (name == "--seeds" && hasValue) {
      aOptions.mSeeds = std::strtoull(aArguments[++n], nullptr, 10);
    } else if (name == "--known-red" && hasValue) {
      aOptions.mKnownRed.insert(std::strtoull(aArguments[++n], nullptr, 10));
    } else if (name == "--listing-ms" && hasValue) {
      aOptions.mRules.mMaxListingDelay =
        std::chrono::milliseconds(std::strtoull(aArguments[++n], nullptr, 10));
    } else if (name == "--trace") {
      aOptions.mRules.mIsTraced = true;
    } else if (name == "--no-shrink") {
      aOptions.mShrinks = false;
    } else if (name == "--calls-outlive-sender") {
      aOptions.mRules.mCallsOutliveSender = true;
    } else if (name == "--no-era-guard") {
      aOptions.mRules.mGuardsEra = false;
    } else {
      return false;
    }
  }
  return true;
}

/// Whether two runs broke the same rule.
bool
BreaksSameRule(const Oracle& aOracle, const std::string& aBreach)
{
  return aOracle.mBreach &&
         aOracle.mBreach->substr(0, 4) == aBreach.substr(0, 4);
}

/// Leaves out the disruptions without which the same rule is broken.
Schedule
Shrink(std::uint64_t aSeed,
       Schedule aSchedule,
       const Rules& aRules,
       const std::string& aBreach)
{
  for (std::size_t n = 0; n < aSchedule.size();) {
    Schedule shorter = aSchedule;
    shorter.erase(shorter.begin() + static_cast<std::ptrdiff_t>(n));
    if (BreaksSameRule(RunWorld(aSeed, shorter, aRules), aBreach)) {
      aSchedule = std::move(shorter);
    } else {
      ++n;
    }
  }
  return aSchedule;
}

void
PrintFailure(std::uint64_t aSeed,
             const Schedule& aSchedule,
             const std::string& aBreach)
{
  std::printf(
    "seed %llu: %s\n", static_cast<unsigned long long>(aSeed), aBreach.c_str());
  for (const Disruption& disruption : aSchedule) {
    std::printf("  %s\n", Describe(disruption).c_str());
  }
}

void
RunSeed(std::uint64_t aSeed, const Options& aOptions, Totals& aTotals)
{
  std::mt19937_64 random(aSeed);
  Schedule schedule = MakeSchedule(random);
  Rules rules = aOptions.mRules;
  rules.mIsTraced = false;
  const Oracle oracle = RunWorld(aSeed, schedule, rules);
  aTotals.mPromotions += oracle.mPromotions;
  aTotals.mAcknowledged += oracle.mAcknowledged.size();
  const bool isKnownRed = aOptions.mKnownRed.count(aSeed) > 0;
  if (!oracle.mBreach) {
    if (isKnownRed) {
      std::printf("seed %llu is listed as known red and broke no rule\n",
                  static_cast<unsigned long long>(aSeed));
    }
    if (aOptions.mRules.mIsTraced) {
      RunWorld(aSeed, schedule, aOptions.mRules);
    }
    return;
  }
  if (isKnownRed) {
    std::printf("known red: ");
  } else {
    ++aTotals.mFailures;
  }
  if (aOptions.mShrinks) {
    schedule = Shrink(aSeed, schedule, rules, *oracle.mBreach);
  }
  PrintFailure(aSeed, schedule, *oracle.mBreach);
  if (aOptions.mRules.mIsTraced) {
    RunWorld(aSeed, schedule, aOptions.mRules);
  }
}

}

int
main(int aCount, char** aArguments)
{
  Options options;
  if (!ParseOptions(aCount, aArguments, options)) {
    return PrintUsage();
  }
  Totals totals;
  std::set<std::uint64_t> seeds = options.mKnownRed;
  for (std::uint64_t n = 0; n < options.mSeeds; ++n) {
    seeds.insert(options.mFirst + n);
  }
  for (const std::uint64_t seed : seeds) {
    RunSeed(seed, options, totals);
    std::fflush(stdout);
  }
  std::printf("%zu seeds, %zu broke a rule; %zu promotions, %zu writes "
              "acknowledged\n",
              seeds.size(),
              totals.mFailures,
              totals.mPromotions,
              totals.mAcknowledged);
  return totals.mFailures == 0 ? 0 : 1;
}
