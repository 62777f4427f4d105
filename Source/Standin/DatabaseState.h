#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Messages/ServerMessage.h"
#include "Model/Ids.h"
#include "Model/Position.h"

namespace camphorstep {

/// An entry of the log: the writes of one transaction.
struct LogEntry
{
  Position mPosition;
  std::vector<std::string> mStatements;
  /// The idempotency key, or empty, and the result recorded under it.
  std::string mKey;
  std::string mResult;
  /// Identifies the request that made the entry, for oracles.
  RequestId mRequest;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPosition, mStatements, mKey, mResult, mRequest);
  }
};

/// What a replica asks its leader for.
struct ReplicationRequest
{
  Term mTerm = 0;
  Position mLastLogged;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm, mLastLogged);
  }
};

struct ReplicationReply
{
  /// False if the server is not the primary of its term.
  bool mIsPrimary = false;
  Term mTerm = 0;
  /// False if the replica's last entry is not in the leader's log: the
  /// replica drops it and asks again.
  bool mMatches = false;
  std::vector<LogEntry> mEntries;
  std::vector<ServerId> mVoters;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIsPrimary, mTerm, mMatches, mEntries, mVoters);
  }
};

/// An open transaction of a connection: its writes wait here.
struct OpenTransaction
{
  std::vector<std::string> mStatements;
};

/// The state of one server of a database group: log, data, ledger of
/// idempotency keys, term and role. Thread-safe. Statements are "get K",
/// "put K V", "add K N" and "fail".
class DatabaseState
{
public:
  DatabaseState(ServerId aSelf, std::vector<ServerId> aVoters, bool aIsPrimary);

  /// Fills in the state that every reply carries.
  void Describe(ServerReply& aReply, bool aWithTermStarts) const;

  /// Runs a statement, alone or in a transaction.
  ServerReply Run(const ServerRequest& aRequest,
                  std::optional<OpenTransaction>& aTransaction);
  ServerReply Commit(const ServerRequest& aRequest,
                     std::optional<OpenTransaction>& aTransaction);
  ServerReply Lookup(const ServerRequest& aRequest) const;
  ServerReply Fence(const ServerRequest& aRequest);
  ServerReply Promote(const ServerRequest& aRequest);
  ServerReply Follow(const ServerRequest& aRequest);

  /// Waits until a position is applied, or logged; false on timeout.
  bool WaitApplied(Position aPosition, Duration aTimeout) const;
  bool WaitLogged(Position aPosition, Duration aTimeout) const;

  /// Whether the server accepts writes, and what it says if not.
  ServerStatus CheckPrimary(Term aRequired) const;

  /// Leader's side of replication; waits a little for new entries.
  ReplicationReply Replicate(const ReplicationRequest& aRequest) const;

  /// Replica's side: the next request, and what to do with its reply.
  ReplicationRequest NextReplicationRequest() const;
  void Absorb(const ReplicationReply& aReply, ServerId aFrom);

  /// The server to replicate from, or none.
  ServerId Leader() const;

  /// Applies one more logged entry, if there is one; used by the replica's
  /// delayed apply loop.
  void ApplyUpTo(std::size_t aCount);
  std::size_t LoggedCount() const;

  /// The whole log, for oracles.
  std::vector<LogEntry> Log() const;

private:
  bool IsPrimaryLocked() const;
  Position LastLoggedLocked() const;
  Position AppliedLocked() const;
  void DescribeLocked(ServerReply& aReply, bool aWithTermStarts) const;
  ServerReply Reply(const ServerRequest& aRequest,
                    ServerStatus aStatus,
                    std::string aResult = {}) const;
  void ApplyLocked(std::size_t aCount);
  std::map<std::string, std::string> CopyTouched(
    const std::string& aText,
    const std::optional<OpenTransaction>& aTransaction) const;
  void DropLastLocked();
  void AppendLocked(LogEntry aEntry);

  mutable std::mutex mMutex;
  mutable std::condition_variable mChanged;
  const ServerId mSelf;
  Term mTerm = 1;
  /// The term in which this server is or was primary; zero if never.
  Term mPrimaryTerm = 0;
  std::string mFencedBy;
  Term mFormerTerm = 0;
  ServerRole mFormerRole = ServerRole::Replica;
  ServerId mLeader;
  std::vector<ServerId> mVoters;
  std::vector<LogEntry> mLog;
  std::size_t mAppliedCount = 0;
  std::map<std::string, std::string> mData;
  std::map<std::string, std::string> mLedger;
};

}
