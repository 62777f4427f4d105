#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Fuzz/FakeServer.h"
#include "Messages/CallerMessage.h"
#include "Model/Profile.h"

namespace camphorstep::fuzz {

/// A call as its caller knows it.
struct CallRecord
{
  CallerRequest mRequest;
  std::size_t mHost = 0;
  std::size_t mCaller = 0;
  /// The transaction of the caller that the call belongs to; zero is none.
  std::uint64_t mTransaction = 0;
  /// What the statement returns if it runs; a read of a key that is not
  /// there returns an empty text.
  std::string mExpected;
  /// The keys that are there once the call is done.
  std::vector<std::string> mPutKeys;
  /// The key that a read asks for.
  std::string mReadKey;
  /// Whether the read must show the key, because the session wrote it.
  bool mOwnWrite = false;
  /// Whether the read must show the key, because it was acknowledged longer
  /// ago than the profile's greatest age.
  bool mMustBeFresh = false;
  Duration mTimeLeft{ 0 };
  Instant mSentAt{};
};

/// What became of the statements of one transaction.
struct TransactionRecord
{
  std::vector<std::string> mAcknowledged;
  bool mCommitted = false;
};

/// Checks the promises to the callers while a world runs: it sees each call,
/// each answer at the moment when it leaves a host, and what the servers did.
/// All of its times are the world's.
class Oracle
{
public:
  using Servers = std::vector<FakeServer*>;

  explicit Oracle(Servers aServers)
    : mServers(std::move(aServers))
  {
  }

  void OnCall(const CallRecord& aCall);
  void OnAnswer(const CallerAnswer& aAnswer, Instant aNow);
  /// The host of open calls died without a planned stop.
  void OnCrash(std::size_t aHost);
  /// A host says that its planned stop is complete.
  void OnStopComplete(std::size_t aHost, bool aServesNothing) const;
  /// A server was sent a request.
  void OnSent(ServerId aServer, const ServerRequest& aRequest, Instant aNow);
  /// A server ran a request.
  void OnServed(const FakeServer& aServer,
                const ServerRequest& aRequest,
                const ServerReply& aReply);
  void OnLeaving(ServerId aServer, Instant aNow) { mLeaving[aServer] = aNow; }
  void OnStaying(ServerId aServer) { mLeaving.erase(aServer); }
  /// A host has a configuration version in force.
  void OnVersion(std::size_t aHost, std::uint64_t aVersion);
  void OnRestart(std::size_t aHost) { mVersions.erase(aHost); }

  /// Calls of a host, awake since some time, whose answer is overdue.
  void CheckOverdue(std::size_t aHost, Instant aAwakeSince, Instant aNow) const;
  /// What stands in the newest primary's log.
  void CheckLogs() const;

  /// How often calls were answered with each outcome, to show that runs
  /// exercise something.
  std::array<int, 3> mOutcomes{};

  /// Whether an answer tells its caller that a write is done.
  bool AcknowledgesWrite(const CallerAnswer& aAnswer) const;

  bool IsAcknowledged(const std::string& aKey, Instant aBefore) const;

private:
  void CheckResult(const CallRecord& aCall, const CallerAnswer& aAnswer) const;
  void CheckRead(const CallRecord& aCall) const;
  void NoteDone(const CallRecord& aCall,
                const CallerAnswer& aAnswer,
                Instant aNow);
  void CheckHeld(const std::vector<std::string>& aTexts) const;
  void NoteNotRun(const CallRecord& aCall);
  void CheckEntry(const LogEntry& aEntry) const;
  void CheckNotRun(const std::string& aText) const;
  /// The log of the primary at the highest term; nothing between a fence
  /// and the promotion that follows it.
  std::optional<std::vector<LogEntry>> NewestLog() const;

  Servers mServers;
  std::map<CallId, CallRecord> mOpen;
  std::set<CallId> mAnswered;
  std::map<std::uint64_t, TransactionRecord> mTransactions;
  /// Texts of writes: how often each ran alone, which were refused as "not
  /// run", which may run more than once.
  std::map<std::string, int> mRuns;
  std::set<std::string> mRefused;
  std::set<std::string> mIdempotent;
  /// Keys of acknowledged writes and when that was.
  std::map<std::string, Instant> mAcknowledged;
  /// Acknowledged under durability "replicated": never lost.
  std::set<std::string> mKept;
  std::map<ServerId, Instant> mLeaving;
  std::map<std::size_t, std::uint64_t> mVersions;
};

/// The transaction that a statement names in its key, or zero.
std::uint64_t TransactionOf(const std::string& aText);

}
