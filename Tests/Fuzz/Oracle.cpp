#include "Fuzz/Oracle.h"

#include <algorithm>

#include "Fuzz/Failure.h"

namespace camphorstep::fuzz {

namespace {

/// A leaving server may get new work for this long.
constexpr Duration kLeavingGrace = std::chrono::seconds(4);

/// An answer may come this long after the caller's deadline.
constexpr Duration kAnswerSlack = std::chrono::seconds(1);

[[noreturn]] void
Fail(std::string aPromise, const std::string& aSeen)
{
  throw OracleFailure(aPromise.append(": ").append(aSeen));
}

bool
Contains(const std::vector<LogEntry>& aLog, const std::string& aText)
{
  return std::any_of(
    aLog.begin(), aLog.end(), [&aText](const LogEntry& aEntry) {
      return std::find(aEntry.mStatements.begin(),
                       aEntry.mStatements.end(),
                       aText) != aEntry.mStatements.end();
    });
}

std::string
TextOfKey(const std::string& aKey)
{
  return "put " + aKey + " v" + aKey;
}

}

std::uint64_t
TransactionOf(const std::string& aText)
{
  const std::size_t at = aText.find("put t");
  return at == 0 ? std::stoull(aText.substr(5)) : 0;
}

void
Oracle::OnCall(const CallRecord& aCall)
{
  mOpen.emplace(aCall.mRequest.mCall, aCall);
  if (aCall.mRequest.mIdempotent) {
    mIdempotent.insert(aCall.mRequest.mText);
  }
}

void
Oracle::OnAnswer(const CallerAnswer& aAnswer, Instant aNow)
{
  const auto it = mOpen.find(aAnswer.mCall);
  if (it == mOpen.end()) {
    if (mAnswered.contains(aAnswer.mCall)) {
      Fail("each caller gets its own answer", "a call was answered twice");
    }
    return;
  }
  const CallRecord call = it->second;
  mOpen.erase(it);
  mAnswered.insert(aAnswer.mCall);
  ++mOutcomes.at(static_cast<std::size_t>(aAnswer.mOutcome));
  if (aAnswer.mOutcome == Outcome::Done) {
    CheckResult(call, aAnswer);
    NoteDone(call, aAnswer, aNow);
  } else if (aAnswer.mOutcome == Outcome::NotRun) {
    NoteNotRun(call);
  }
}

void
Oracle::CheckResult(const CallRecord& aCall, const CallerAnswer& aAnswer) const
{
  if (aCall.mRequest.mOperation != CallerOperation::Run) {
    return;
  }
  const bool absent = !aCall.mReadKey.empty() && aAnswer.mResult.empty();
  if (!absent && aAnswer.mResult != aCall.mExpected) {
    Fail("each caller gets its own answer",
         "'" + aCall.mRequest.mText + "' was answered another's result");
  }
  if (absent) {
    CheckRead(aCall);
  }
}

void
Oracle::CheckRead(const CallRecord& aCall) const
{
  if (aCall.mOwnWrite) {
    Fail("a session reads its own writes",
         "'" + aCall.mReadKey + "' is missing");
  }
  const std::optional<std::vector<LogEntry>> log = NewestLog();
  if (aCall.mMustBeFresh && log && Contains(*log, TextOfKey(aCall.mReadKey))) {
    Fail("reads are as fresh as the profile says",
         "'" + aCall.mReadKey + "' is missing");
  }
}

void
Oracle::NoteDone(const CallRecord& aCall,
                 const CallerAnswer& aAnswer,
                 Instant aNow)
{
  const CallerRequest& request = aCall.mRequest;
  const bool kept = request.mService != "borrowers";
  std::vector<std::string> texts;
  if (request.mOperation == CallerOperation::Commit) {
    TransactionRecord& record = mTransactions[aCall.mTransaction];
    record.mCommitted = true;
    texts = record.mAcknowledged;
  } else if (request.mWrite && aCall.mTransaction != 0) {
    mTransactions[aCall.mTransaction].mAcknowledged.push_back(request.mText);
  } else if (request.mWrite) {
    texts.push_back(request.mText);
  }
  for (const std::string& text : texts) {
    const std::string key = text.substr(4, text.find(' ', 4) - 4);
    mAcknowledged.emplace(key, aNow);
    if (kept) {
      mKept.insert(text);
    }
  }
  if (aAnswer.mCode == ResultCode::Ok) {
    CheckHeld(texts);
  }
}

void
Oracle::CheckHeld(const std::vector<std::string>& aTexts) const
{
  if (aTexts.empty()) {
    return;
  }
  const std::optional<std::vector<LogEntry>> log = NewestLog();
  for (const std::string& text : aTexts) {
    if (log && !Contains(*log, text)) {
      Fail("no write is acknowledged by a replaced primary",
           "'" + text + "' is not in the newest primary's log");
    }
  }
}

void
Oracle::NoteNotRun(const CallRecord& aCall)
{
  if (aCall.mRequest.mOperation == CallerOperation::Commit) {
    for (const std::string& text :
         mTransactions[aCall.mTransaction].mAcknowledged) {
      mRefused.insert(text);
    }
  } else if (aCall.mRequest.mWrite && aCall.mRequest.mKey.empty()) {
    mRefused.insert(aCall.mRequest.mText);
  }
  for (const std::string& text : mRefused) {
    CheckNotRun(text);
  }
}

void
Oracle::CheckNotRun(const std::string& aText) const
{
  const auto it = mRuns.find(aText);
  if (mRefused.contains(aText) && it != mRuns.end() && it->second > 0) {
    Fail("\"not run\" means that the request did not run",
         "'" + aText + "' ran");
  }
}

void
Oracle::OnServed(const FakeServer& aServer,
                 const ServerRequest& aRequest,
                 const ServerReply& aReply)
{
  const bool writes =
    aRequest.mOperation == ServerOperation::Commit ||
    (aRequest.mOperation == ServerOperation::Run && aRequest.mWrite);
  if (aReply.mStatus != ServerStatus::Ok || !writes) {
    return;
  }
  const std::vector<LogEntry> log = aServer.mState.Log();
  if (log.empty() || log.back().mRequest != aRequest.mId) {
    return;
  }
  CheckEntry(log.back());
  for (const std::string& text : log.back().mStatements) {
    const bool once = aRequest.mKey.empty() && !mIdempotent.contains(text);
    if (++mRuns[text] > 1 && once) {
      Fail("a non-idempotent request runs at most once",
           "'" + text + "' ran twice");
    }
    CheckNotRun(text);
  }
}

void
Oracle::CheckEntry(const LogEntry& aEntry) const
{
  const std::vector<std::string>& statements = aEntry.mStatements;
  if (statements.empty()) {
    return;
  }
  const std::uint64_t transaction = TransactionOf(statements.front());
  for (const std::string& text : statements) {
    if (TransactionOf(text) != transaction ||
        (transaction == 0 && statements.size() > 1)) {
      Fail("statements of different transactions never mix",
           "'" + text + "' stands with '" + statements.front() + "'");
    }
  }
  const auto it = mTransactions.find(transaction);
  if (transaction != 0 && it != mTransactions.end() &&
      it->second.mAcknowledged.size() > statements.size()) {
    Fail("statements of different transactions never mix",
         "transaction " + std::to_string(transaction) +
           " was committed without some of its statements");
  }
}

void
Oracle::OnCrash(std::size_t aHost)
{
  std::erase_if(
    mOpen, [aHost](const auto& aItem) { return aItem.second.mHost == aHost; });
}

void
Oracle::OnStopComplete(std::size_t aHost, bool aServesNothing) const
{
  const bool open =
    std::any_of(mOpen.begin(), mOpen.end(), [aHost](const auto& aItem) {
      return aItem.second.mHost == aHost;
    });
  if (open || !aServesNothing) {
    Fail("a planned stop cuts no request in progress",
         "host " + std::to_string(aHost) + " stopped with " +
           (open ? "calls" : "work for others") + " underway");
  }
}

void
Oracle::OnSent(ServerId aServer, const ServerRequest& aRequest, Instant aNow)
{
  const bool isNew = aRequest.mOperation == ServerOperation::Begin ||
                     (aRequest.mOperation == ServerOperation::Run &&
                      TransactionOf(aRequest.mText) == 0);
  const auto it = mLeaving.find(aServer);
  if (isNew && it != mLeaving.end() && aNow > it->second + kLeavingGrace) {
    Fail("a leaving server gets no new work",
         "'" + aRequest.mText + "' was sent to one");
  }
}

void
Oracle::OnVersion(std::size_t aHost, std::uint64_t aVersion)
{
  std::uint64_t& version = mVersions[aHost];
  if (aVersion < version) {
    Fail("an accepted configuration never reverts",
         "host " + std::to_string(aHost) + " went from version " +
           std::to_string(version) + " to " + std::to_string(aVersion));
  }
  version = aVersion;
}

void
Oracle::CheckOverdue(std::size_t aHost, Instant aAwakeSince, Instant aNow) const
{
  for (const auto& [id, call] : mOpen) {
    const Instant seen = std::max(call.mSentAt, aAwakeSince);
    if (call.mHost == aHost && aNow > seen + call.mTimeLeft + kAnswerSlack) {
      Fail("each caller gets its own answer",
           "'" + call.mRequest.mText + "' got none by its deadline");
    }
  }
}

void
Oracle::CheckLogs() const
{
  const std::optional<std::vector<LogEntry>> newest = NewestLog();
  if (!newest) {
    return;
  }
  for (const std::string& text : mKept) {
    if (!Contains(*newest, text)) {
      Fail("an acknowledged write is kept", "'" + text + "' was lost");
    }
  }
  std::set<std::string> keys;
  for (const LogEntry& entry : *newest) {
    if (!entry.mKey.empty() && !keys.insert(entry.mKey).second) {
      Fail("a non-idempotent request runs at most once",
           "key '" + entry.mKey + "' is in the log twice");
    }
  }
}

bool
Oracle::AcknowledgesWrite(const CallerAnswer& aAnswer) const
{
  const auto it = mOpen.find(aAnswer.mCall);
  return it != mOpen.end() && aAnswer.mOutcome == Outcome::Done &&
         it->second.mRequest.mWrite;
}

bool
Oracle::IsAcknowledged(const std::string& aKey, Instant aBefore) const
{
  const auto it = mAcknowledged.find(aKey);
  return it != mAcknowledged.end() && it->second <= aBefore;
}

std::optional<std::vector<LogEntry>>
Oracle::NewestLog() const
{
  const FakeServer* newest = nullptr;
  for (const FakeServer* const server : mServers) {
    if (server->IsPrimary() &&
        (newest == nullptr || server->CurrentTerm() > newest->CurrentTerm())) {
      newest = server;
    }
  }
  if (newest == nullptr) {
    return std::nullopt;
  }
  return newest->mState.Log();
}

}
