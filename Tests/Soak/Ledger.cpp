#include "Ledger.h"

#include <algorithm>
#include <utility>

namespace camphorstep::soak {

std::uint64_t
Ledger::Begin(std::vector<std::string> aItems)
{
  const std::lock_guard lock(mMutex);
  const std::uint64_t id = mAttempts.size() + 1;
  mAttempts[id] = { std::move(aItems), Fate::Unknown, Clock::now() };
  return id;
}

void
Ledger::Settle(std::uint64_t aAttempt, Fate aFate)
{
  const std::lock_guard lock(mMutex);
  Attempt& attempt = mAttempts.at(aAttempt);
  attempt.mFate = aFate;
  attempt.mSettledAt = Clock::now();
  if (aFate == Fate::Acknowledged) {
    mAcknowledged.push_back(aAttempt);
  }
}

std::string
Ledger::AcknowledgedItem(std::chrono::milliseconds aAge,
                         std::uint64_t aDraw) const
{
  const std::lock_guard lock(mMutex);
  const auto latest = Clock::now() - aAge;
  const auto end = std::partition_point(
    mAcknowledged.begin(), mAcknowledged.end(), [&](std::uint64_t aId) {
      return mAttempts.at(aId).mSettledAt <= latest;
    });
  const auto n = static_cast<std::uint64_t>(end - mAcknowledged.begin());
  if (n == 0) {
    return "";
  }
  // Recent ones, which a replica may lack.
  constexpr std::uint64_t kRecent = 4;
  const std::uint64_t back = aDraw % std::min(n, kRecent);
  return mAttempts.at(mAcknowledged[n - 1 - back]).mItems.front();
}

void
Ledger::Fail(const std::string& aRule, const std::string& aSeen)
{
  const std::lock_guard lock(mMutex);
  mFailures.insert(aRule + ": " + aSeen);
}

std::vector<std::string>
Ledger::Failures() const
{
  const std::lock_guard lock(mMutex);
  return { mFailures.begin(), mFailures.end() };
}

void
Ledger::CheckKept(const std::map<std::string, std::string>& aData)
{
  const std::lock_guard lock(mMutex);
  for (const std::uint64_t id : mAcknowledged) {
    for (const std::string& item : mAttempts.at(id).mItems) {
      if (!aData.contains(item)) {
        mFailures.insert("an acknowledged write is kept: " + item +
                         " is not there");
      }
    }
  }
}

void
Ledger::CheckEffects(const std::map<std::string, int>& aEffects,
                     const std::map<std::string, std::string>& aData)
{
  CheckKept(aData);
  std::set<std::string> known;
  const std::lock_guard lock(mMutex);
  for (const auto& [id, attempt] : mAttempts) {
    for (const std::string& item : attempt.mItems) {
      known.insert(item);
      const auto it = aEffects.find(item);
      const int n = it == aEffects.end() ? 0 : it->second;
      if (n > 1) {
        mFailures.insert("a write runs at most once: " + item + " ran " +
                         std::to_string(n) + " times");
      }
      if (attempt.mFate == Fate::NotKept && n > 0) {
        mFailures.insert("a promise that nothing is kept is true: " + item +
                         " took effect");
      }
    }
  }
  for (const auto& [item, n] : aEffects) {
    if (!known.contains(item)) {
      mFailures.insert("only what callers sent runs: " + item + " ran");
    }
  }
}

std::size_t
Ledger::Count(Fate aFate) const
{
  const std::lock_guard lock(mMutex);
  return static_cast<std::size_t>(std::count_if(
    mAttempts.begin(), mAttempts.end(), [aFate](const auto& aItem) {
      return aItem.second.mFate == aFate;
    }));
}

}
