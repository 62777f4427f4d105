#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "Common/Time.h"

namespace camphorstep::gateway {

/// What is due; the number that goes with it names the session, server,
/// group or table.
enum class TimerKind : std::uint8_t
{
  /// A session's statement is out of time.
  Statement,
  /// A session's statement is tried again.
  Retry,
  /// A session's transaction has been idle for too long.
  IdleTransaction,
  SampleGroup,
  /// A server's pool may open connections again or close idle ones.
  Pool,
  PollTable,
  RegisterHost,
  PromoterLease,
  FollowSource,
  ShareNews,
  Stop,
};

/// Timers of the state, at most one for each kind and number.
struct Timers
{
  using Key = std::pair<TimerKind, std::uint64_t>;

  std::set<std::pair<Instant, Key>> mQueue;
  std::map<Key, Instant> mDue;

  /// Sets a timer; one that is set already is moved.
  void Arm(TimerKind aKind, std::uint64_t aId, Instant aDue);

  /// Sets a timer unless it is already due sooner.
  void ArmSooner(TimerKind aKind, std::uint64_t aId, Instant aDue);

  void Cancel(TimerKind aKind, std::uint64_t aId);

  /// Takes the first timer that is due.
  std::optional<Key> TakeDue(Instant aNow);

  /// When the next timer is due.
  std::optional<Instant> Next() const;
};

}
