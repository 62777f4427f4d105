#pragma once

#include "Common/Time.h"

namespace camphorstep {

/// Limits the statements that one dispatcher runs at once on a server. The
/// limit never exceeds the server's slots. Below that it adapts to the server's
/// latency and refusals, because another dispatcher may use the same server and
/// because a server that has just started is slower at first.
struct ConcurrencyLimit
{
  /// Zero until first adjusted; the initial limit applies then.
  double mLimit = 0;

  /// The batch of statements that is being measured.
  int mSamples = 0;
  double mSumMicros = 0;
  double mSumSquaredMicros = 0;
  bool mSaturated = false;
  bool mRefused = false;
  Instant mBatchStart{};
  Instant mLastRefusalCut{};

  /// The least mean latency of a batch, in microseconds, in the current and the
  /// previous window: an estimate of the latency without queueing.
  double mWindowBaseline = 0;
  double mLastBaseline = 0;
  Instant mWindowStart{};
  /// Set during a probe, which lowers the limit for one batch to measure the
  /// latency without this dispatcher's queueing.
  bool mProbing = false;
  /// Samples to ignore because their statements may have been sent before the
  /// probe started or ended.
  int mSamplesToSkip = 0;
};

/// Returns the limit, from one to aSlots. It is aSlots if aAdaptive is false.
int LimitOf(const ConcurrencyLimit& aLimit, int aSlots, bool aAdaptive);

/// Adds the latency of a statement. aSaturated is true if the limit was reached
/// when the statement completed.
void NoteLatency(ConcurrencyLimit& aLimit,
                 Instant aNow,
                 Duration aLatency,
                 bool aSaturated,
                 int aSlots);

/// Lowers the limit after the server refused a statement as busy.
void NoteRefusal(ConcurrencyLimit& aLimit, Instant aNow);

/// Resets the limit after all connections to the server were lost.
void ResetLimit(ConcurrencyLimit& aLimit);

}
