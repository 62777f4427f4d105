#include "Support/Workload.h"

#include <algorithm>

namespace camphorstep::testing {

namespace {

constexpr std::size_t kClients = 3;
constexpr std::size_t kNone = static_cast<std::size_t>(-1);
constexpr Duration kStep = std::chrono::milliseconds(10);
/// A client whose host has ended gives up after this time.
constexpr Duration kPatience = std::chrono::seconds(6);
/// The client that may lose acknowledged writes.
constexpr std::size_t kPlainClient = 2;

}

Workload::Workload(Cluster& aCluster)
  : mCluster(aCluster)
  , mCurrent(kClients, kNone)
  , mNextAt(kClients)
  // Numbers that no workload before has used on the cluster.
  , mTurns(kClients, static_cast<int>(3 * aCluster.mAnswers.size()))
{
}

void
Workload::Run(Duration aDuration)
{
  const Instant end = mCluster.mNow + aDuration;
  while (mCluster.mNow < end) {
    Collect();
    for (std::size_t n = 0; n < kClients; ++n) {
      const bool givenUp =
        mCurrent[n] != kNone &&
        mCluster.mNow - mAsked[mCurrent[n]].mAskedAt > kPatience;
      if (givenUp) {
        mCurrent[n] = kNone;
      }
      if (mCurrent[n] == kNone && mCluster.mNow >= mNextAt[n]) {
        QueryNextSource(n);
      }
    }
    mCluster.Advance(kStep);
  }
  Collect();
}

void
Workload::Collect()
{
  for (; mCollected < mCluster.mAnswers.size(); ++mCollected) {
    const GivenAnswer& given = mCluster.mAnswers[mCollected];
    for (std::size_t n = 0; n < kClients; ++n) {
      if (mCurrent[n] == kNone || mAsked[mCurrent[n]].mHost != given.mHost ||
          mAsked[mCurrent[n]].mCall != given.mAnswer.mCall) {
        continue;
      }
      mAsked[mCurrent[n]].mGiven = given;
      mCurrent[n] = kNone;
      mNextAt[n] = mCluster.mNow + kStep;
    }
  }
}

void
Workload::QueryNextSource(std::size_t aHost)
{
  const int turn = ++mTurns[aHost];
  Asked asked;
  asked.mHost = aHost;
  asked.mWrite = turn % 3 != 0;
  asked.mReplicated = aHost != kPlainClient;
  asked.mOwner = asked.mWrite ? aHost : (aHost + 1) % kClients;
  asked.mNumber = turn;
  asked.mAskedAt = mCluster.mNow;
  const std::string key = "key-" + std::to_string(asked.mOwner);
  asked.mText =
    asked.mWrite ? "put " + key + " " + std::to_string(turn) : "get " + key;
  CallerRequest request;
  request.mService = asked.mReplicated ? "technicians" : "inspectors";
  request.mDatabase = "records";
  request.mText = asked.mText;
  request.mWrite = asked.mWrite;
  request.mDeadline = std::chrono::seconds(4);
  if (turn % 3 == 1) {
    request.mKey = std::to_string(aHost) + "-" + std::to_string(turn);
  }
  asked.mCall = mCluster.Call(aHost, request);
  mCurrent[aHost] = mAsked.size();
  mAsked.push_back(std::move(asked));
}

int
Workload::CountInLog(const std::string& aText) const
{
  int count = 0;
  for (const LogEntry& entry : mCluster.Log(mCluster.Primary().value())) {
    count += static_cast<int>(
      std::count(entry.mStatements.begin(), entry.mStatements.end(), aText));
  }
  return count;
}

void
Workload::CheckWrites(std::vector<std::string>& aFound) const
{
  for (const Asked& asked : mAsked) {
    if (!asked.mWrite) {
      continue;
    }
    const auto& executed = mCluster.mExecuted;
    const auto runs = std::count_if(
      executed.begin(), executed.end(), [&asked](const Executed& aRun) {
        return aRun.mText == asked.mText && !aRun.mKeyed;
      });
    const int logged = CountInLog(asked.mText);
    if (runs > 1 || logged > 1) {
      aFound.push_back("run twice: " + asked.mText);
    }
    if (asked.IsDone() && asked.mReplicated && logged == 0) {
      aFound.push_back("acknowledged and lost: " + asked.mText);
    }
    const bool notRun =
      asked.mGiven && asked.mGiven->mAnswer.mOutcome == Outcome::NotRun;
    if (notRun && (runs > 0 || logged > 0)) {
      aFound.push_back("told not run, but ran: " + asked.mText);
    }
  }
}

void
Workload::CheckReads(std::vector<std::string>& aFound) const
{
  for (const Asked& read : mAsked) {
    if (read.mWrite || !read.IsDone() || read.mOwner == kPlainClient) {
      continue;
    }
    int least = 0;
    for (const Asked& write : mAsked) {
      const bool before = write.mWrite && write.IsDone() &&
                          write.mOwner == read.mOwner &&
                          write.mGiven->mLeftAt < read.mAskedAt;
      least = before ? std::max(least, write.mNumber) : least;
    }
    const std::string& result = read.mGiven->mAnswer.mResult;
    if (least > 0 && (result.empty() || std::stoi(result) < least)) {
      aFound.push_back("stale read of " + read.mText);
    }
  }
}

void
Workload::CheckOrder(std::vector<std::string>& aFound) const
{
  for (const Asked& asked : mAsked) {
    if (!asked.mWrite || !asked.IsDone() || CountInLog(asked.mText) > 0) {
      continue;
    }
    const bool replaced =
      std::any_of(mAsked.begin(), mAsked.end(), [&asked](const Asked& aOther) {
        return aOther.IsDone() &&
               aOther.mGiven->mPosition.mTerm > asked.mGiven->mPosition.mTerm &&
               aOther.mGiven->mLeftAt < asked.mGiven->mLeftAt;
      });
    if (replaced) {
      aFound.push_back("acknowledged by a replaced primary: " + asked.mText);
    }
  }
}

std::vector<std::string>
Workload::Check() const
{
  std::vector<std::string> found;
  for (const auto& [term, servers] : mCluster.mPrimaries) {
    if (servers.size() > 1) {
      found.push_back("two primaries at term " + std::to_string(term));
    }
  }
  CheckWrites(found);
  CheckReads(found);
  CheckOrder(found);
  return found;
}

}
