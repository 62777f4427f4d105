#include "Load/ReplicaReads.h"

#include <atomic>
#include <charconv>
#include <mutex>
#include <thread>

#include "Load/Figures.h"
#include "Load/LinkControl.h"
#include "Load/ReadOracle.h"
#include "Load/StandinClient.h"
#include "Load/Stream.h"

namespace camphorstep {

namespace {

constexpr std::size_t kSharedKeys = 16;
constexpr std::size_t kSessions = 120;
constexpr Duration kSessionThinkTime = std::chrono::milliseconds(250);
constexpr std::uint64_t kSessionWriteEvery = 10;
constexpr Duration kWriterThinkTime = std::chrono::milliseconds(500);
constexpr double kBrowsingRate = 300;
/// The greatest age that the profile of the browsing service accepts.
constexpr Duration kMaxAge = std::chrono::seconds(2);
constexpr const char* kUsualLag = "lag_ms=200";
constexpr const char* kLongLag = "lag_ms=5000";

std::string
SharedKey(std::uint64_t aNumber)
{
  return "shared-" + std::to_string(aNumber % kSharedKeys);
}

std::uint64_t
ToVersion(const std::string& aText)
{
  std::uint64_t version = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), version);
  return version;
}

/// The second word of a statement.
std::string
KeyOf(const Call& aCall)
{
  const std::size_t start = aCall.mText.find(' ') + 1;
  return aCall.mText.substr(start, aCall.mText.find(' ', start) - start);
}

bool
IsDone(const CompletedCall& aCall)
{
  return aCall.mResult.mAnswered && aCall.mResult.mOutcome == "done";
}

Call
MakeWrite(const LoadSettings& aSettings,
          ReadOracle& aOracle,
          const std::string& aKey)
{
  Call call;
  call.mDatabase = aSettings.mDatabase;
  call.mText = "put " + aKey + " " + std::to_string(aOracle.NextVersion(aKey));
  call.mWrite = true;
  return call;
}

Call
MakeRead(const LoadSettings& aSettings, const std::string& aKey)
{
  Call call;
  call.mDatabase = aSettings.mDatabase;
  call.mText = "get " + aKey;
  return call;
}

/// Writes the shared keys, one writer for each.
Stream
MakeWriters(const LoadSettings& aSettings, ReadOracle& aOracle)
{
  Stream stream;
  stream.mToken = aSettings.mTokens.at(1);
  stream.mCallers = kSharedKeys;
  stream.mThinkTime = kWriterThinkTime;
  stream.mMakeCall = [&](std::size_t aCaller, std::uint64_t) {
    return MakeWrite(aSettings, aOracle, SharedKey(aCaller));
  };
  stream.mOnCompleted = [&aOracle](const CompletedCall& aCall) {
    if (IsDone(aCall)) {
      aOracle.Acknowledge(KeyOf(aCall.mCall),
                          ToVersion(aCall.mResult.mResult),
                          aCall.mAnsweredAt);
    }
  };
  return stream;
}

/// Reads the shared keys and accepts data of an age.
Stream
MakeBrowsers(const LoadSettings& aSettings, ReadOracle& aOracle)
{
  Stream stream;
  stream.mToken = aSettings.mTokens.at(2);
  stream.mRate = kBrowsingRate;
  stream.mMakeCall = [&](std::size_t, std::uint64_t aNumber) {
    return MakeRead(aSettings, SharedKey(aNumber));
  };
  stream.mOnCompleted = [&aOracle](const CompletedCall& aCall) {
    if (IsDone(aCall)) {
      aOracle.JudgeAge(KeyOf(aCall.mCall),
                       ToVersion(aCall.mResult.mResult),
                       aCall.mSentAt,
                       kMaxAge);
    }
  };
  return stream;
}

/// The tokens of the sessions.
class SessionTokens
{
public:
  std::string Get(std::size_t aSession) const
  {
    const std::lock_guard lock(mMutex);
    return mTokens[aSession];
  }

  void Put(std::size_t aSession, const std::string& aToken)
  {
    const std::lock_guard lock(mMutex);
    mTokens[aSession] = aToken;
  }

private:
  mutable std::mutex mMutex;
  std::vector<std::string> mTokens = std::vector<std::string>(kSessions);
};

/// Reads of sessions and how many of them replicas served.
struct SessionReads
{
  std::atomic<std::uint64_t> mReads{ 0 };
  std::atomic<std::uint64_t> mReplica{ 0 };
};

void
JudgeSessionCall(ReadOracle& aOracle,
                 SessionReads& aReads,
                 const CompletedCall& aCall)
{
  const std::string key = KeyOf(aCall.mCall);
  const std::uint64_t version = ToVersion(aCall.mResult.mResult);
  if (!aCall.mCall.mWrite) {
    ++aReads.mReads;
    aReads.mReplica += aCall.mResult.mReplica ? 1 : 0;
    aOracle.JudgeSession(aCall.mCaller, key, version);
  }
  aOracle.NoteSeen(aCall.mCaller, key, version);
}

/// Sessions that roam: each call goes to the next proxy.
Stream
MakeSessions(const LoadSettings& aSettings,
             ReadOracle& aOracle,
             SessionTokens& aTokens,
             SessionReads& aReads)
{
  Stream stream;
  stream.mToken = aSettings.mTokens.at(0);
  stream.mCallers = kSessions;
  stream.mThinkTime = kSessionThinkTime;
  stream.mMakeCall = [&](std::size_t aCaller, std::uint64_t aNumber) {
    const std::string own = "session-" + std::to_string(aCaller);
    const std::uint64_t turn = aNumber + aCaller;
    Call call = turn % kSessionWriteEvery == 0
                  ? MakeWrite(aSettings, aOracle, own)
                  : MakeRead(aSettings, turn % 2 == 0 ? own : SharedKey(turn));
    call.mSession = aTokens.Get(aCaller);
    return call;
  };
  stream.mOnCompleted = [&](const CompletedCall& aCall) {
    if (!aCall.mResult.mSession.empty()) {
      aTokens.Put(aCall.mCaller, aCall.mResult.mSession);
    }
    if (IsDone(aCall)) {
      JudgeSessionCall(aOracle, aReads, aCall);
    }
  };
  return stream;
}

/// Has the last replica fall behind for the middle third of the time.
void
DriveLag(const LoadSettings& aSettings)
{
  const Address& replica = aSettings.mControls.back();
  SetFault(replica, kUsualLag);
  std::this_thread::sleep_for(aSettings.mDuration / 3);
  SetFault(replica, kLongLag);
  std::this_thread::sleep_for(aSettings.mDuration / 3);
  SetFault(replica, kUsualLag);
}

double
Ratio(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? 0.0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

}

void
RunReplicaReads(const LoadSettings& aSettings)
{
  ReadOracle oracle;
  SessionTokens tokens;
  SessionReads reads;
  const LinkBytes before = ReadLinkBytes(aSettings.mLinks.back());
  std::thread lag([&] { DriveLag(aSettings); });
  const std::vector<StreamFigures> figures =
    RunStreams(aSettings.mProxies,
               { MakeWriters(aSettings, oracle),
                 MakeBrowsers(aSettings, oracle),
                 MakeSessions(aSettings, oracle, tokens, reads) },
               aSettings.mDuration,
               aSettings.mSeed);
  lag.join();
  const LinkBytes after = ReadLinkBytes(aSettings.mLinks.back());
  const StreamFigures& browsing = figures[1];
  PrintFigure(
    aSettings, "replica_share_age", Ratio(browsing.mReplica, browsing.mDone));
  PrintFigure(
    aSettings, "replica_share_session", Ratio(reads.mReplica, reads.mReads));
  PrintFigure(
    aSettings,
    "replica_share",
    Ratio(browsing.mReplica + reads.mReplica, browsing.mDone + reads.mReads));
  PrintFigure(
    aSettings, "stale_reads", static_cast<double>(oracle.StaleReads()));
  PrintFigure(aSettings,
              "ryw_violations",
              static_cast<double>(oracle.SessionViolations()));
  PrintFigure(
    aSettings, "reads", static_cast<double>(browsing.mDone + reads.mReads));
  PrintFigure(aSettings,
              "browsing_p99_ms",
              MillisecondsOf(PercentileOf(browsing.mDoneLatencies, 0.99)));
  PrintFigure(aSettings,
              "session_p99_ms",
              MillisecondsOf(PercentileOf(figures[2].mDoneLatencies, 0.99)));
  PrintFigure(aSettings, "browsing_success", browsing.Success());
  PrintFigure(aSettings, "session_success", figures[2].Success());
  PrintFailures(aSettings, "browsing", browsing);
  PrintFailures(aSettings, "session", figures[2]);
  PrintFigure(aSettings,
              "region_bytes_per_read",
              static_cast<double>(after.Total() - before.Total()) /
                static_cast<double>(browsing.mDone + reads.mReads));
}

}
