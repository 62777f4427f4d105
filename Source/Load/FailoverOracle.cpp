#include "Load/FailoverOracle.h"

#include <map>
#include <string>

namespace camphorstep {

namespace {

/// How often a text stands in the log, and in which term it was written last.
struct LoggedText
{
  int mCount = 0;
  std::uint64_t mTerm = 0;
};

using TextIndex = std::map<std::string, LoggedText>;

TextIndex
IndexOf(const std::vector<StandinLogEntry>& aLog)
{
  TextIndex index;
  for (const StandinLogEntry& entry : aLog) {
    for (const std::string& text : entry.mStatements) {
      LoggedText& logged = index[text];
      ++logged.mCount;
      logged.mTerm = entry.mTerm;
    }
  }
  return index;
}

/// When a write of each term was first acknowledged.
std::map<std::uint64_t, LoadClock::time_point>
FirstAcknowledged(const std::vector<WriteRecord>& aRecords,
                  const TextIndex& aIndex)
{
  std::map<std::uint64_t, LoadClock::time_point> first;
  for (const WriteRecord& record : aRecords) {
    const auto logged = aIndex.find(record.mText);
    if (record.mOutcome != "done" || logged == aIndex.end()) {
      continue;
    }
    const auto [it, isNew] =
      first.try_emplace(logged->second.mTerm, record.mAnsweredAt);
    it->second = std::min(it->second, record.mAnsweredAt);
  }
  return first;
}

}

FailoverFindings
CheckLog(const std::vector<WriteRecord>& aRecords,
         const std::vector<StandinLogEntry>& aLog)
{
  const TextIndex index = IndexOf(aLog);
  const auto first = FirstAcknowledged(aRecords, index);
  FailoverFindings findings;
  for (const WriteRecord& record : aRecords) {
    const auto logged = index.find(record.mText);
    const int count = logged == index.end() ? 0 : logged->second.mCount;
    findings.mRunTwice += count > 1 ? 1 : 0;
    if (record.mOutcome == "not run") {
      ++findings.mNotRun;
      findings.mRunAfterAll += count > 0 ? 1 : 0;
    }
    if (record.mOutcome == "unknown") {
      ++findings.mUnknown;
    }
    if (record.mOutcome != "done") {
      continue;
    }
    ++findings.mAcknowledged;
    if (count == 0) {
      ++findings.mLost;
      continue;
    }
    const auto later = first.upper_bound(logged->second.mTerm);
    const bool replaced =
      later != first.end() && later->second < record.mSentAt;
    findings.mAcknowledgedByReplaced += replaced ? 1 : 0;
  }
  return findings;
}

}
