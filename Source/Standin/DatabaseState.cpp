#include "Standin/DatabaseState.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace camphorstep {

namespace {

constexpr std::size_t kReportedTermStarts = 8;
constexpr std::size_t kMaxEntriesPerReply = 500;
constexpr auto kReplicationWait = std::chrono::milliseconds(50);

using Data = std::map<std::string, std::string>;

/// A statement split into its words.
struct Statement
{
  std::string mVerb;
  std::string mKey;
  std::string mValue;
};

Statement
ParseStatement(const std::string& aText)
{
  Statement statement;
  std::istringstream in(aText);
  in >> statement.mVerb >> statement.mKey >> std::ws;
  std::getline(in, statement.mValue);
  return statement;
}

std::int64_t
ToNumber(const std::string& aText)
{
  std::int64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

/// What a statement did.
struct Execution
{
  bool mOk = true;
  bool mWrote = false;
  std::string mResult;
};

Execution
Execute(const std::string& aText, Data& aData)
{
  const Statement statement = ParseStatement(aText);
  if (statement.mVerb == "get" && !statement.mKey.empty()) {
    const auto it = aData.find(statement.mKey);
    return { true, false, it == aData.end() ? std::string() : it->second };
  }
  if (statement.mVerb == "put" && !statement.mKey.empty()) {
    aData[statement.mKey] = statement.mValue;
    return { true, true, statement.mValue };
  }
  if (statement.mVerb == "add" && !statement.mKey.empty()) {
    std::string& value = aData[statement.mKey];
    value = std::to_string(ToNumber(value) + ToNumber(statement.mValue));
    return { true, true, value };
  }
  return { false, false, "cannot run '" + statement.mVerb + "'" };
}

bool
IsWrite(const std::string& aText)
{
  const std::string verb = ParseStatement(aText).mVerb;
  return verb == "put" || verb == "add";
}

}

DatabaseState::DatabaseState(ServerId aSelf,
                             std::vector<ServerId> aVoters,
                             bool aIsPrimary)
  : mSelf(aSelf)
  , mVoters(std::move(aVoters))
{
  if (aIsPrimary) {
    mPrimaryTerm = mTerm;
    AppendLocked(LogEntry{ Position{ mTerm, 1 }, {}, {}, {}, {} });
  } else {
    mLeader = mVoters.front();
  }
}

bool
DatabaseState::IsPrimaryLocked() const
{
  return mPrimaryTerm == mTerm;
}

Position
DatabaseState::LastLoggedLocked() const
{
  return mLog.empty() ? Position{} : mLog.back().mPosition;
}

Position
DatabaseState::AppliedLocked() const
{
  return mAppliedCount == 0 ? Position{} : mLog[mAppliedCount - 1].mPosition;
}

void
DatabaseState::DescribeLocked(ServerReply& aReply, bool aWithTermStarts) const
{
  aReply.mTerm = mTerm;
  aReply.mRole = IsPrimaryLocked() ? ServerRole::Primary : ServerRole::Replica;
  aReply.mApplied = AppliedLocked();
  aReply.mLogged = LastLoggedLocked();
  aReply.mVoters = mVoters;
  if (!aWithTermStarts) {
    return;
  }
  Term last = 0;
  for (const LogEntry& entry : mLog) {
    if (entry.mPosition.mTerm != last) {
      last = entry.mPosition.mTerm;
      aReply.mTermStarts.push_back(entry.mPosition);
    }
  }
  if (aReply.mTermStarts.size() > kReportedTermStarts) {
    aReply.mTermStarts.erase(aReply.mTermStarts.begin(),
                             aReply.mTermStarts.end() - kReportedTermStarts);
  }
}

void
DatabaseState::Describe(ServerReply& aReply, bool aWithTermStarts) const
{
  const std::lock_guard lock(mMutex);
  DescribeLocked(aReply, aWithTermStarts);
}

ServerReply
DatabaseState::Reply(const ServerRequest& aRequest,
                     ServerStatus aStatus,
                     std::string aResult) const
{
  ServerReply reply;
  reply.mId = aRequest.mId;
  reply.mStatus = aStatus;
  reply.mResult = std::move(aResult);
  DescribeLocked(reply, false);
  return reply;
}

void
DatabaseState::AppendLocked(LogEntry aEntry)
{
  mLog.push_back(std::move(aEntry));
  mChanged.notify_all();
  if (IsPrimaryLocked()) {
    ApplyLocked(mLog.size());
  }
}

void
DatabaseState::ApplyLocked(std::size_t aCount)
{
  for (; mAppliedCount < aCount; ++mAppliedCount) {
    const LogEntry& entry = mLog[mAppliedCount];
    for (const std::string& statement : entry.mStatements) {
      Execute(statement, mData);
    }
    if (!entry.mKey.empty()) {
      mLedger[entry.mKey] = entry.mResult;
    }
  }
  mChanged.notify_all();
}

std::map<std::string, std::string>
DatabaseState::CopyTouched(
  const std::string& aText,
  const std::optional<OpenTransaction>& aTransaction) const
{
  std::vector<std::string> statements;
  if (aTransaction) {
    statements = aTransaction->mStatements;
  }
  statements.push_back(aText);
  Data copy;
  for (const std::string& statement : statements) {
    const auto it = mData.find(ParseStatement(statement).mKey);
    if (it != mData.end()) {
      copy.insert(*it);
    }
  }
  return copy;
}

ServerReply
DatabaseState::Run(const ServerRequest& aRequest,
                   std::optional<OpenTransaction>& aTransaction)
{
  const std::lock_guard lock(mMutex);
  const bool writes = IsWrite(aRequest.mText);
  if (writes && !aRequest.mWrite) {
    return Reply(aRequest, ServerStatus::AccessViolation);
  }
  if (aRequest.mWrite && !IsPrimaryLocked()) {
    return Reply(aRequest, ServerStatus::NotPrimary);
  }
  const auto recorded = mLedger.find(aRequest.mKey);
  if (!aRequest.mKey.empty() && recorded != mLedger.end()) {
    return Reply(aRequest, ServerStatus::Replayed, recorded->second);
  }
  // A transaction's writes stay invisible until it commits: they run on
  // copies of the keys that they touch.
  Data view = CopyTouched(aRequest.mText, aTransaction);
  if (aTransaction) {
    for (const std::string& statement : aTransaction->mStatements) {
      Execute(statement, view);
    }
  }
  const Execution execution = Execute(aRequest.mText, view);
  if (!execution.mOk) {
    return Reply(aRequest, ServerStatus::StatementFailed, execution.mResult);
  }
  if (execution.mWrote && aTransaction) {
    aTransaction->mStatements.push_back(aRequest.mText);
  } else if (execution.mWrote) {
    AppendLocked(LogEntry{ Position{ mTerm, mLog.size() + 1 },
                           { aRequest.mText },
                           aRequest.mKey,
                           execution.mResult,
                           aRequest.mId });
  }
  return Reply(aRequest, ServerStatus::Ok, execution.mResult);
}

ServerReply
DatabaseState::Commit(const ServerRequest& aRequest,
                      std::optional<OpenTransaction>& aTransaction)
{
  const std::lock_guard lock(mMutex);
  if (!aTransaction) {
    return Reply(aRequest, ServerStatus::NoTransaction);
  }
  const std::vector<std::string> statements =
    std::move(aTransaction->mStatements);
  aTransaction.reset();
  if (!IsPrimaryLocked()) {
    return Reply(aRequest, ServerStatus::NotPrimary);
  }
  const auto recorded = mLedger.find(aRequest.mKey);
  if (!aRequest.mKey.empty() && recorded != mLedger.end()) {
    return Reply(aRequest, ServerStatus::Replayed, recorded->second);
  }
  if (!statements.empty() || !aRequest.mKey.empty()) {
    AppendLocked(LogEntry{ Position{ mTerm, mLog.size() + 1 },
                           statements,
                           aRequest.mKey,
                           "committed",
                           aRequest.mId });
  }
  return Reply(aRequest, ServerStatus::Ok, "committed");
}

ServerReply
DatabaseState::Lookup(const ServerRequest& aRequest) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mLedger.find(aRequest.mKey);
  return it == mLedger.end()
           ? Reply(aRequest, ServerStatus::UnknownKey)
           : Reply(aRequest, ServerStatus::Replayed, it->second);
}

ServerReply
DatabaseState::Fence(const ServerRequest& aRequest)
{
  const std::lock_guard lock(mMutex);
  const bool again = aRequest.mTerm == mTerm && aRequest.mText == mFencedBy;
  if (aRequest.mTerm <= mTerm && !again) {
    return Reply(aRequest, ServerStatus::WrongTerm);
  }
  if (!again) {
    mFormerTerm = mTerm;
    mFormerRole = IsPrimaryLocked() ? ServerRole::Primary : ServerRole::Replica;
  }
  mTerm = aRequest.mTerm;
  mFencedBy = aRequest.mText;
  mLeader = ServerId{};
  mChanged.notify_all();
  ServerReply reply = Reply(aRequest, ServerStatus::Ok);
  reply.mFormerTerm = mFormerTerm;
  reply.mFormerRole = mFormerRole;
  return reply;
}

ServerReply
DatabaseState::Promote(const ServerRequest& aRequest)
{
  const std::lock_guard lock(mMutex);
  const bool fenced = aRequest.mTerm == mTerm && aRequest.mText == mFencedBy;
  if (!fenced) {
    return Reply(aRequest, ServerStatus::WrongTerm);
  }
  if (!IsPrimaryLocked()) {
    mPrimaryTerm = mTerm;
    mVoters = aRequest.mVoters;
    // An empty entry marks the start of the term in the log.
    AppendLocked(
      LogEntry{ Position{ mTerm, mLog.size() + 1 }, {}, {}, {}, {} });
  }
  ServerReply reply = Reply(aRequest, ServerStatus::Ok);
  DescribeLocked(reply, true);
  return reply;
}

ServerReply
DatabaseState::Follow(const ServerRequest& aRequest)
{
  const std::lock_guard lock(mMutex);
  const bool isLeader = IsPrimaryLocked() && aRequest.mTerm == mTerm;
  if (aRequest.mTerm < mTerm || isLeader) {
    return Reply(aRequest, ServerStatus::WrongTerm);
  }
  if (aRequest.mTerm > mTerm) {
    mFencedBy.clear();
  }
  mTerm = aRequest.mTerm;
  mLeader = aRequest.mLeader;
  return Reply(aRequest, ServerStatus::Ok);
}

bool
DatabaseState::WaitApplied(Position aPosition, Duration aTimeout) const
{
  std::unique_lock lock(mMutex);
  return mChanged.wait_for(
    lock, aTimeout, [&] { return AppliedLocked() >= aPosition; });
}

bool
DatabaseState::WaitLogged(Position aPosition, Duration aTimeout) const
{
  std::unique_lock lock(mMutex);
  return mChanged.wait_for(
    lock, aTimeout, [&] { return LastLoggedLocked() >= aPosition; });
}

ServerStatus
DatabaseState::CheckPrimary(Term aRequired) const
{
  const std::lock_guard lock(mMutex);
  if (!IsPrimaryLocked()) {
    return ServerStatus::NotPrimary;
  }
  return aRequired != 0 && aRequired != mTerm ? ServerStatus::WrongTerm
                                              : ServerStatus::Ok;
}

ReplicationReply
DatabaseState::Replicate(const ReplicationRequest& aRequest) const
{
  std::unique_lock lock(mMutex);
  ReplicationReply reply;
  const std::size_t known = aRequest.mLastLogged.mIndex;
  mChanged.wait_for(lock, kReplicationWait, [&] {
    return LastLoggedLocked() != aRequest.mLastLogged || !IsPrimaryLocked();
  });
  reply.mIsPrimary = IsPrimaryLocked();
  reply.mTerm = mTerm;
  reply.mVoters = mVoters;
  reply.mMatches =
    known == 0 ||
    (known <= mLog.size() && mLog[known - 1].mPosition == aRequest.mLastLogged);
  if (reply.mIsPrimary && reply.mMatches) {
    const std::size_t count =
      std::min(kMaxEntriesPerReply, mLog.size() - known);
    const auto first = mLog.begin() + static_cast<std::ptrdiff_t>(known);
    reply.mEntries.assign(first, first + static_cast<std::ptrdiff_t>(count));
  }
  return reply;
}

ReplicationRequest
DatabaseState::NextReplicationRequest() const
{
  const std::lock_guard lock(mMutex);
  return ReplicationRequest{ mTerm, LastLoggedLocked() };
}

void
DatabaseState::DropLastLocked()
{
  mLog.pop_back();
  if (mAppliedCount <= mLog.size()) {
    return;
  }
  // The dropped entry had been applied: rebuild the data without it.
  mData.clear();
  mLedger.clear();
  mAppliedCount = 0;
  ApplyLocked(mLog.size());
}

void
DatabaseState::Absorb(const ReplicationReply& aReply, ServerId aFrom)
{
  const std::lock_guard lock(mMutex);
  if (!aReply.mIsPrimary || aReply.mTerm != mTerm || mLeader != aFrom) {
    return;
  }
  mVoters = aReply.mVoters;
  if (!aReply.mMatches) {
    DropLastLocked();
    return;
  }
  for (const LogEntry& entry : aReply.mEntries) {
    if (entry.mPosition.mIndex == mLog.size() + 1) {
      AppendLocked(entry);
    }
  }
}

ServerId
DatabaseState::Leader() const
{
  const std::lock_guard lock(mMutex);
  return mLeader;
}

void
DatabaseState::ApplyUpTo(std::size_t aCount)
{
  const std::lock_guard lock(mMutex);
  ApplyLocked(std::min(aCount, mLog.size()));
}

std::size_t
DatabaseState::LoggedCount() const
{
  const std::lock_guard lock(mMutex);
  return mLog.size();
}

std::vector<LogEntry>
DatabaseState::Log() const
{
  const std::lock_guard lock(mMutex);
  return mLog;
}

}
