#include "Load/Failover.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <memory>
#include <optional>
#include <stdexcept>

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include "Load/FailoverOracle.h"
#include "Load/Latency.h"
#include "Load/StandinClient.h"
#include "Load/SteadyWriter.h"

namespace camphorstep {

namespace {

constexpr int kMinUnplanned = 10;
/// Steady writing before each change.
constexpr auto kSteadyTime = std::chrono::milliseconds(250);
/// A change that takes longer has failed.
constexpr auto kChangeTimeout = std::chrono::seconds(8);
constexpr auto kPoll = std::chrono::milliseconds(10);
/// Time beyond twice the duration at which no further change begins.
constexpr auto kLastChangeMargin = std::chrono::seconds(5);

enum class ChangeKind : std::uint8_t
{
  Ended,
  CutOff,
  Planned
};

/// A change of primary and when it began.
struct Change
{
  ChangeKind mKind = ChangeKind::Ended;
  LoadClock::time_point mBegan;
};

using Writers = std::vector<std::unique_ptr<SteadyWriter>>;

/// The primary of the highest term, by its place in the group; nothing while
/// a change is underway.
std::optional<std::size_t>
FindPrimary(const LoadSettings& aSettings)
{
  std::optional<std::size_t> primary;
  std::uint64_t term = 0;
  for (std::size_t n = 0; n < aSettings.mControls.size(); ++n) {
    const StandinStatus status = ReadStatus(aSettings.mControls[n]);
    if (status.mPrimary && status.mTerm > term) {
      primary = n;
      term = status.mTerm;
    }
  }
  return primary;
}

/// Asks a proxy to have a primary replaced, as an operator would.
void
RequestSwitchOver(const LoadSettings& aSettings, std::size_t aServer)
{
  cxxtools::http::Client client(aSettings.mOperators.mIp,
                                aSettings.mOperators.mPort);
  cxxtools::http::Request request("/v1/switch-over?server=" +
                                  aSettings.mServerNames.at(aServer));
  request.method("POST");
  const std::string authorization = "Bearer " + aSettings.mOperatorToken;
  request.setHeader("Authorization", authorization.c_str());
  client.execute(request);
  client.readBody();
}

void
Begin(const LoadSettings& aSettings, ChangeKind aKind, std::size_t aPrimary)
{
  switch (aKind) {
    case ChangeKind::Ended:
      SetFault(aSettings.mControls[aPrimary], "down=1");
      return;
    case ChangeKind::CutOff:
      SetFault(aSettings.mControls[aPrimary], "cut_off=1");
      return;
    case ChangeKind::Planned:
      RequestSwitchOver(aSettings, aPrimary);
      return;
  }
}

/// Waits until a condition holds; false on timeout.
template<typename Condition>
bool
WaitFor(const Condition& aCondition)
{
  const LoadClock::time_point end = LoadClock::now() + kChangeTimeout;
  while (!aCondition()) {
    if (LoadClock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

/// Whether every writer has had a write acknowledged since a time.
bool
AllWroteSince(const Writers& aWriters, LoadClock::time_point aTime)
{
  return std::all_of(
    aWriters.begin(), aWriters.end(), [aTime](const auto& aWriter) {
      return aWriter->LastAcknowledged() > aTime;
    });
}

/// Whether all servers are at the primary's term and hold its log.
bool
IsGroupWhole(const LoadSettings& aSettings)
{
  const std::optional<std::size_t> primary = FindPrimary(aSettings);
  if (!primary) {
    return false;
  }
  const StandinStatus leader = ReadStatus(aSettings.mControls[*primary]);
  return std::all_of(aSettings.mControls.begin(),
                     aSettings.mControls.end(),
                     [&leader](const Address& aControl) {
                       const StandinStatus status = ReadStatus(aControl);
                       return status.mTerm == leader.mTerm &&
                              status.mLoggedTerm == leader.mLoggedTerm &&
                              status.mLoggedIndex >= leader.mLoggedIndex;
                     });
}

/// Changes the primary once and puts everything right again.
Change
Carry(const LoadSettings& aSettings, const Writers& aWriters, ChangeKind aKind)
{
  const std::size_t before = FindPrimary(aSettings).value();
  const Change change{ aKind, LoadClock::now() };
  Begin(aSettings, aKind, before);
  if (!WaitFor(
        [&] { return FindPrimary(aSettings).value_or(before) != before; })) {
    throw std::runtime_error("the primary did not change");
  }
  const LoadClock::time_point changed = LoadClock::now();
  if (!WaitFor([&] { return AllWroteSince(aWriters, changed); })) {
    throw std::runtime_error("writers did not go on");
  }
  SetFault(aSettings.mControls[before], "down=0&cut_off=0");
  if (!WaitFor([&] { return IsGroupWhole(aSettings); })) {
    throw std::runtime_error("the former primary did not come back");
  }
  std::this_thread::sleep_for(kSteadyTime);
  return change;
}

/// The longest time without an acknowledgement that ended during a change.
Duration
GapOf(const std::vector<WriteRecord>& aRecords,
      LoadClock::time_point aBegin,
      LoadClock::time_point aEnd)
{
  std::optional<LoadClock::time_point> last;
  Duration longest{ 0 };
  for (const WriteRecord& record : aRecords) {
    if (record.mOutcome != "done") {
      continue;
    }
    const bool during =
      last && record.mAnsweredAt > aBegin && record.mAnsweredAt < aEnd;
    if (during) {
      longest = std::max(
        longest,
        std::chrono::duration_cast<Duration>(record.mAnsweredAt - *last));
    }
    last = record.mAnsweredAt;
  }
  return longest;
}

/// The gap of the writer that a change hit hardest.
Duration
WorstGap(const std::vector<std::vector<WriteRecord>>& aRecords,
         LoadClock::time_point aBegin,
         LoadClock::time_point aEnd)
{
  Duration worst{ 0 };
  for (const std::vector<WriteRecord>& records : aRecords) {
    worst = std::max(worst, GapOf(records, aBegin, aEnd));
  }
  return worst;
}

double
ToMilliseconds(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1'000;
}

template<typename Value>
void
Print(const char* aName, Value aValue)
{
  std::cout << aName << "=" << aValue << "\n";
}

void
PrintGaps(const std::vector<Change>& aChanges,
          const std::vector<std::vector<WriteRecord>>& aRecords)
{
  std::vector<Duration> unplanned;
  std::vector<Duration> ended;
  std::vector<Duration> cutOff;
  std::vector<Duration> planned;
  for (std::size_t n = 0; n < aChanges.size(); ++n) {
    const LoadClock::time_point end = n + 1 < aChanges.size()
                                        ? aChanges[n + 1].mBegan
                                        : LoadClock::time_point::max();
    const Duration gap = WorstGap(aRecords, aChanges[n].mBegan, end);
    if (aChanges[n].mKind == ChangeKind::Planned) {
      planned.push_back(gap);
      continue;
    }
    unplanned.push_back(gap);
    (aChanges[n].mKind == ChangeKind::Ended ? ended : cutOff).push_back(gap);
  }
  Print("changes", unplanned.size());
  Print("gap_median_ms", ToMilliseconds(PercentileOf(unplanned, 0.5)));
  Print("gap_max_ms", ToMilliseconds(PercentileOf(unplanned, 1)));
  Print("gap_ended_median_ms", ToMilliseconds(PercentileOf(ended, 0.5)));
  Print("gap_cut_off_median_ms", ToMilliseconds(PercentileOf(cutOff, 0.5)));
  Print("changes_planned", planned.size());
  Print("gap_planned_max_ms", ToMilliseconds(PercentileOf(planned, 1)));
}

void
PrintFindings(const LoadSettings& aSettings,
              const std::vector<std::vector<WriteRecord>>& aRecords)
{
  std::vector<WriteRecord> all;
  for (const std::vector<WriteRecord>& records : aRecords) {
    all.insert(all.end(), records.begin(), records.end());
  }
  const std::size_t primary = FindPrimary(aSettings).value();
  const FailoverFindings findings =
    CheckLog(all, ReadLog(aSettings.mControls[primary]));
  Print("acknowledged", findings.mAcknowledged);
  Print("unknown", findings.mUnknown);
  Print("not_run", findings.mNotRun);
  Print("acked_by_replaced", findings.mAcknowledgedByReplaced);
  Print("lost_acked", findings.mLost);
  Print("run_twice", findings.mRunTwice);
  Print("run_after_not_run", findings.mRunAfterAll);
}

Writers
StartWriters(const LoadSettings& aSettings)
{
  Writers writers;
  for (std::size_t n = 0; n < aSettings.mProxies.size(); ++n) {
    writers.push_back(
      std::make_unique<SteadyWriter>(aSettings,
                                     aSettings.mProxies[n],
                                     "writer-" + std::to_string(n),
                                     n % 2 == 1));
  }
  return writers;
}

}

void
RunFailover(const LoadSettings& aSettings)
{
  constexpr std::array kKinds{ ChangeKind::Ended,
                               ChangeKind::CutOff,
                               ChangeKind::Planned };
  Writers writers = StartWriters(aSettings);
  std::vector<Change> changes;
  const LoadClock::time_point start = LoadClock::now();
  if (!WaitFor([&] { return AllWroteSince(writers, start); })) {
    throw std::runtime_error("writers did not start");
  }
  const auto last = start + 2 * aSettings.mDuration + kLastChangeMargin;
  constexpr std::size_t kMinChanges = kMinUnplanned + (kMinUnplanned + 1) / 2;
  while (LoadClock::now() < last &&
         (changes.size() < kMinChanges ||
          LoadClock::now() - start < aSettings.mDuration)) {
    const ChangeKind kind = kKinds[changes.size() % kKinds.size()];
    changes.push_back(Carry(aSettings, writers, kind));
  }
  std::vector<std::vector<WriteRecord>> records;
  for (const auto& writer : writers) {
    records.push_back(writer->Records());
  }
  writers.clear();
  PrintGaps(changes, records);
  PrintFindings(aSettings, records);
}

}
