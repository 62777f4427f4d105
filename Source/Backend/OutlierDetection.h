#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "Common/Time.h"

// Finds servers that fail part of their work although they answer status
// requests well, or do not answer statements at all. What counts is how the
// statements of callers end.

namespace camphorstep::gateway {

/// A server that gets no new reads but trials, and how the trials went.
struct Ejection
{
  Instant mSince;
  /// Statements that end after this time count as trials.
  Instant mTrialsFrom;
  /// When the next read may be sent to the server as a trial.
  Instant mNextTrialAt;
  Duration mTrialInterval{ 0 };
  /// Trials in a row that the server has served.
  std::uint32_t mTrialsServed = 0;
};

/// How callers' statements ended at a server. Older ones count less.
struct OutcomeRecord
{
  double mServed = 0;
  double mFailed = 0;
  /// The time for which the weights above hold.
  Instant mWeighedAt;
  /// When a lost connection counted as a failure last.
  Instant mLostAt;
  std::optional<Ejection> mEjection;
};

/// Records a statement that the server answered with success.
void RecordServed(OutcomeRecord& aRecord, Instant aNow);

/// Records a statement that failed for a reason of the server's.
void RecordFailed(OutcomeRecord& aRecord, Instant aNow);

/// Records a statement whose connection was lost. Connections that are lost
/// together have one cause and count once.
void RecordLost(OutcomeRecord& aRecord, Instant aNow);

/// Whether a server fails clearly more of its statements than the others of its
/// group do together.
bool IsOutlier(const OutcomeRecord& aRecord,
               std::span<const OutcomeRecord> aOthers,
               Instant aNow);

/// Whether one more server of a group may be ejected: at least half of the
/// servers are kept, since the others have to bear its load.
bool MayEject(std::size_t aServers, std::size_t aEjected);

/// Stops new reads to a server.
void Eject(OutcomeRecord& aRecord, Instant aNow);

/// Whether a read may be sent to an ejected server as a trial.
bool IsTrialDue(const OutcomeRecord& aRecord, Instant aNow);

/// Notes that a trial is sent, so that the next one waits for its interval.
void StartTrial(OutcomeRecord& aRecord, Instant aNow);

/// Whether an ejected server has served enough trials to get reads again.
bool HasRecovered(const OutcomeRecord& aRecord);

/// Gives a server new reads again, with an empty record.
void Readmit(OutcomeRecord& aRecord, Instant aNow);

}
