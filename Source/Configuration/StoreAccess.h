#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "Common/Time.h"
#include "Messages/OperatorMessage.h"
#include "Messages/StoreMessage.h"

namespace camphorstep {

struct Context;

/// The purpose of an operation on the platform's services.
enum class StorePurpose : std::uint8_t
{
  PollVersion,
  FetchVersion,
  Publish,
  ReadRecord,
  ReadAudit,
  WriteAudit,
  HostList
};

/// An operation without an answer yet.
struct PendingStoreCall
{
  StorePurpose mPurpose = StorePurpose::PollVersion;
  /// The operator's request that the operation belongs to, if any.
  OperatorCallId mOperatorCall;
};

/// Circuit breaker for the store: after 3 consecutive failures it permits one
/// operation at a time, at growing, jittered intervals.
struct StoreBreaker
{
  std::uint32_t mFailures = 0;
  Instant mNextTry{};
};

struct StoreAccess
{
  StoreBreaker mBreaker;
  std::uint64_t mLastCall = 0;
  std::unordered_map<StoreCallId, PendingStoreCall> mPendingCalls;
};

/// Whether the circuit breaker permits an operation now.
bool CanTry(const StoreBreaker& aBreaker, Instant aNow);

/// Records the start of an operation. The seed determines the jitter.
void NoteTry(StoreBreaker& aBreaker, Instant aNow, std::uint64_t aSeed);

/// Records the outcome of an operation; any known status closes the breaker.
void NoteOutcome(StoreBreaker& aBreaker,
                 StoreStatus aStatus,
                 Instant aNow,
                 std::uint64_t aSeed);

/// Returns the delay after a number of consecutive failures: exponential up to
/// a maximum, with jitter between half and all of it.
Duration BackoffAfter(std::uint32_t aFailures, std::uint64_t aSeed);

/// Registers an operation; nothing if the circuit breaker does not permit one.
std::optional<StoreCallId> BeginStoreCall(Context& aContext,
                                          StorePurpose aPurpose,
                                          OperatorCallId aOperatorCall = {});

/// Removes an answered operation and records its outcome; nothing if there is
/// no such operation.
std::optional<PendingStoreCall> EndStoreCall(Context& aContext,
                                             StoreCallId aCall,
                                             StoreStatus aStatus);

}
