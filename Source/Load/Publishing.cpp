#include "Load/Publishing.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <thread>

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/json.h>

#include "Shell/OperatorCalls.h"
#include "Shell/OperatorJson.h"

namespace camphorstep {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kOperators = 4;
constexpr int kPublishes = 200;
constexpr std::uint16_t kOperatorPort = 7'200;
constexpr auto kWatchInterval = std::chrono::milliseconds(50);
/// How long the last version is given to come into force.
constexpr auto kSpreadLimit = std::chrono::seconds(10);

std::string
MakeText(const std::string& aId)
{
  return "# " + aId +
         "\n[profile.records]\nrank = urgent\n[service.technicians]\n"
         "profile = records\n";
}

/// What the operators were told.
class Reports
{
public:
  void NoteAccepted(std::uint64_t aVersion, const std::string& aChange)
  {
    const std::lock_guard lock(mMutex);
    mAccepted.emplace_back(aVersion, aChange);
    mAcceptedAt.emplace(aVersion, Clock::now());
  }

  void NoteRefused(const std::string& aChange)
  {
    const std::lock_guard lock(mMutex);
    mRefused.push_back(aChange);
  }

  void NoteUnknown()
  {
    const std::lock_guard lock(mMutex);
    ++mUnknown;
  }

  std::optional<Clock::time_point> AcceptedAt(std::uint64_t aVersion) const
  {
    const std::lock_guard lock(mMutex);
    const auto it = mAcceptedAt.find(aVersion);
    return it == mAcceptedAt.end()
             ? std::nullopt
             : std::optional<Clock::time_point>(it->second);
  }

  mutable std::mutex mMutex;
  std::vector<std::pair<std::uint64_t, std::string>> mAccepted;
  std::map<std::uint64_t, Clock::time_point> mAcceptedAt;
  std::vector<std::string> mRefused;
  int mUnknown = 0;
};

/// Reads the version in force on a host; nothing if it does not answer.
std::optional<std::uint64_t>
ReadVersion(const Address& aHost, const std::string& aToken)
{
  try {
    const OperatorAnswer answer =
      CallHost(aHost, aToken, "/v1/profile/show", ToJson(ReadProfiles{ 0 }));
    return answer.mRecord ? answer.mRecord->mVersion : 0;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/// Watches the versions in force on all hosts.
class Watcher
{
public:
  Watcher(const OperatorTarget& aTarget)
    : mTarget(aTarget)
    , mVersions(aTarget.mAddresses.size())
    , mThread([this] { Watch(); })
  {
  }

  ~Watcher()
  {
    mEnding = true;
    mThread.join();
  }

  Watcher(const Watcher&) = delete;
  Watcher& operator=(const Watcher&) = delete;

  /// When a version was first seen in force on all hosts.
  std::optional<Clock::time_point> InForceAt(std::uint64_t aVersion) const
  {
    const std::lock_guard lock(mMutex);
    const auto it = mEverywhereAt.lower_bound(aVersion);
    return it == mEverywhereAt.end()
             ? std::nullopt
             : std::optional<Clock::time_point>(it->second);
  }

  int Reverts() const { return mReverts; }

private:
  void Watch()
  {
    while (!mEnding) {
      for (std::size_t n = 0; n < mVersions.size(); ++n) {
        Note(n, ReadVersion(mTarget.mAddresses[n], mTarget.mToken));
      }
      const std::uint64_t lowest =
        *std::min_element(mVersions.begin(), mVersions.end());
      {
        const std::lock_guard lock(mMutex);
        mEverywhereAt.emplace(lowest, Clock::now());
      }
      std::this_thread::sleep_for(kWatchInterval);
    }
  }

  void Note(std::size_t aHost, std::optional<std::uint64_t> aVersion)
  {
    if (!aVersion) {
      return;
    }
    if (*aVersion < mVersions[aHost]) {
      ++mReverts;
    }
    mVersions[aHost] = *aVersion;
  }

  const OperatorTarget& mTarget;
  std::vector<std::uint64_t> mVersions;
  mutable std::mutex mMutex;
  /// When each version was first the lowest one in force anywhere.
  std::map<std::uint64_t, Clock::time_point> mEverywhereAt;
  std::atomic<int> mReverts{ 0 };
  std::atomic<bool> mEnding{ false };
  std::thread mThread;
};

/// Publishes one change, from the version in force on a host.
void
PublishOnce(const OperatorTarget& aTarget, int aNumber, Reports& aReports)
{
  OperatorTarget target = aTarget;
  std::rotate(target.mAddresses.begin(),
              target.mAddresses.begin() +
                aNumber % static_cast<int>(target.mAddresses.size()),
              target.mAddresses.end());
  const auto base = ReadVersion(target.mAddresses.front(), target.mToken);
  PublishProfiles action;
  action.mChangeId = "change-" + std::to_string(aNumber) + "-" + MakeChangeId();
  action.mBaseVersion = base.value_or(0);
  action.mText = MakeText(action.mChangeId);
  action.mReason = "measurement";
  const OperatorAnswer answer = Publish(target, action);
  if (answer.mOutcome == Outcome::Done) {
    aReports.NoteAccepted(answer.mRecord->mVersion, action.mChangeId);
  } else if (answer.mOutcome == Outcome::NotRun) {
    aReports.NoteRefused(action.mChangeId);
  } else {
    aReports.NoteUnknown();
  }
}

/// Reads all versions from the store: the change of each, by version.
std::map<std::uint64_t, std::string>
ReadHistory(const OperatorTarget& aTarget, std::uint64_t aLast)
{
  std::map<std::uint64_t, std::string> changes;
  for (std::uint64_t version = 1; version <= aLast; ++version) {
    const OperatorAnswer answer =
      CallAnyHost(aTarget, "/v1/profile/show", ToJson(ReadProfiles{ version }));
    changes[version] = answer.mRecord ? answer.mRecord->mChangeId : "";
  }
  return changes;
}

/// The longest time from a report of acceptance until the version, or a later
/// one, was seen in force on all hosts.
Clock::duration
LongestSpread(const Reports& aReports, const Watcher& aWatcher)
{
  Clock::duration longest{};
  for (const auto& [version, acceptedAt] : aReports.mAcceptedAt) {
    const auto inForce = aWatcher.InForceAt(version);
    longest = std::max(
      longest, inForce ? *inForce - acceptedAt : Clock::duration::max());
  }
  return longest;
}

void
PrintFigures(const OperatorTarget& aTarget,
             const Reports& aReports,
             const Watcher& aWatcher)
{
  const std::uint64_t last =
    ReadVersion(aTarget.mAddresses.front(), aTarget.mToken).value_or(0);
  const auto history = ReadHistory(aTarget, last);
  std::map<std::string, int> timesPublished;
  for (const auto& [version, change] : history) {
    ++timesPublished[change];
  }
  const auto lost =
    std::count_if(aReports.mAccepted.begin(),
                  aReports.mAccepted.end(),
                  [&history](const auto& aItem) {
                    const auto it = history.find(aItem.first);
                    return it == history.end() || it->second != aItem.second;
                  });
  const auto doubles =
    std::count_if(timesPublished.begin(),
                  timesPublished.end(),
                  [](const auto& aItem) { return aItem.second > 1; });
  const auto wronglyRefused =
    std::count_if(aReports.mRefused.begin(),
                  aReports.mRefused.end(),
                  [&timesPublished](const std::string& aChange) {
                    return timesPublished.contains(aChange);
                  });
  std::cout << "accepted=" << aReports.mAccepted.size() << "\n"
            << "refused=" << aReports.mRefused.size() << "\n"
            << "unknown=" << aReports.mUnknown << "\n"
            << "accepted_lost=" << lost << "\n"
            << "refused_but_published=" << wronglyRefused << "\n"
            << "double_versions=" << doubles << "\n"
            << "reverts=" << aWatcher.Reverts() << "\n"
            << "in_force_max_ms="
            << std::chrono::duration_cast<std::chrono::milliseconds>(
                 LongestSpread(aReports, aWatcher))
                 .count()
            << "\n";
}

}

void
RunPublishing(const LoadSettings& aSettings)
{
  OperatorTarget target;
  target.mToken = aSettings.mOperatorToken;
  for (const Address& proxy : aSettings.mProxies) {
    target.mAddresses.push_back({ proxy.mIp, kOperatorPort });
  }
  Reports reports;
  const Watcher watcher(target);
  std::atomic<int> next{ 0 };
  const Clock::time_point end = Clock::now() + aSettings.mDuration;
  std::vector<std::thread> threads;
  for (int n = 0; n < kOperators; ++n) {
    threads.emplace_back([&] {
      for (int number = next++; number < kPublishes && Clock::now() < end;
           number = next++) {
        PublishOnce(target, number, reports);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::uint64_t last =
    reports.mAccepted.empty() ? 0 : reports.mAcceptedAt.rbegin()->first;
  const Clock::time_point limit = Clock::now() + kSpreadLimit;
  while (!watcher.InForceAt(last) && Clock::now() < limit) {
    std::this_thread::sleep_for(kWatchInterval);
  }
  std::cout << "publishes=" << std::min(next.load(), kPublishes) << "\n";
  PrintFigures(target, reports, watcher);
}

}
