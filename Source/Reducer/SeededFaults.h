#pragma once

#include <array>
#include <cstdint>

#include "Common/NamedEnum.h"

namespace camphorstep {

/// Faults that can be injected into the core, one at a time, to show that the
/// oracle of Tests/Fuzz detects them. Only the fuzzer's copy of the core
/// is built with CAMPHORSTEP_SEEDED_FAULTS; elsewhere IsSeeded is false at
/// compile time and the faults are not in the program.
enum class SeededFault : std::uint8_t
{
  None,
  ReuseDirtyConnection,
  ResendWrite,
  AcceptLateAnswer,
  StaleVersion,
  SkipMinPosition,
  UnknownAsNotRun,
  DropAtStop,
  IgnoreReplicaAge,
  MixTransactions,
  FreezeSession,
  SkipLeaseCheck,
  SkipLastLook,
  SkipReplication,
  SkipLeaseWait,
  HighestIndexAlone,
  ForgetLostHistory,
};

inline constexpr std::array kSeededFaultNames{
  EnumName<SeededFault>{ SeededFault::ReuseDirtyConnection,
                         "reuse-dirty-connection" },
  EnumName<SeededFault>{ SeededFault::ResendWrite, "resend-write" },
  EnumName<SeededFault>{ SeededFault::AcceptLateAnswer, "accept-late-answer" },
  EnumName<SeededFault>{ SeededFault::StaleVersion, "stale-version" },
  EnumName<SeededFault>{ SeededFault::SkipMinPosition, "skip-min-position" },
  EnumName<SeededFault>{ SeededFault::UnknownAsNotRun, "unknown-as-not-run" },
  EnumName<SeededFault>{ SeededFault::DropAtStop, "drop-at-stop" },
  EnumName<SeededFault>{ SeededFault::IgnoreReplicaAge, "ignore-replica-age" },
  EnumName<SeededFault>{ SeededFault::MixTransactions, "mix-transactions" },
  EnumName<SeededFault>{ SeededFault::FreezeSession, "freeze-session" },
  EnumName<SeededFault>{ SeededFault::SkipLeaseCheck, "skip-lease-check" },
  EnumName<SeededFault>{ SeededFault::SkipLastLook, "skip-last-look" },
  EnumName<SeededFault>{ SeededFault::SkipReplication, "skip-replication" },
  EnumName<SeededFault>{ SeededFault::SkipLeaseWait, "skip-lease-wait" },
  EnumName<SeededFault>{ SeededFault::HighestIndexAlone,
                         "highest-index-alone" },
  EnumName<SeededFault>{ SeededFault::ForgetLostHistory,
                         "forget-lost-history" },
};

#ifdef CAMPHORSTEP_SEEDED_FAULTS

/// The fault currently injected into the fuzzer's core.
inline SeededFault gSeededFault = SeededFault::None;

inline bool
IsSeeded(SeededFault aFault)
{
  return gSeededFault == aFault;
}

#else

constexpr bool
IsSeeded(SeededFault)
{
  return false;
}

#endif

}
