#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "Common/Time.h"

namespace camphorstep::gateway {

/// The kind of a timer. Its number identifies the session, server, group or
/// table that it is for.
enum class TimerKind : std::uint8_t
{
  /// A session's statement has reached its deadline or its limit for waiting.
  Statement,
  /// A session's statement is to be retried.
  Retry,
  /// A session's transaction has been idle for too long.
  IdleTransaction,
  SampleGroup,
  /// A server's pool may open connections again or close idle ones.
  Pool,
  PollTable,
  RegisterHost,
  PromoterLease,
  QueryPeer,
  SendPeerReports,
  /// Shares of accounts' limits are to be exchanged.
  Shares,
  /// Operations of an account have waited for too long for their tokens.
  TokenRequests,
  /// The configuration is out of date unless it is confirmed sooner.
  ConfigurationAge,
  Stop,
  /// An owner has not opened a session, or answered its statement, in time.
  Relay,
};

/// The armed timers, at most one for each kind and number.
struct Timers
{
  using Key = std::pair<TimerKind, std::uint64_t>;

  std::set<std::pair<Instant, Key>> mQueue;
  std::map<Key, Instant> mDue;

  /// Arms a timer; one that is already armed is moved.
  void Arm(TimerKind aKind, std::uint64_t aId, Instant aDue);

  /// Arms a timer unless it is already due at that time or sooner.
  void ArmSooner(TimerKind aKind, std::uint64_t aId, Instant aDue);

  void Cancel(TimerKind aKind, std::uint64_t aId);

  /// Removes and returns the earliest timer that is due, if any.
  std::optional<Key> TakeDue(Instant aNow);

  /// When the earliest timer is due; none if no timer is armed.
  std::optional<Instant> Next() const;
};

}
