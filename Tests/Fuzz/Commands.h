#pragma once

#include <array>
#include <cstdint>
#include <iosfwd>
#include <vector>

#include <rapidcheck.h>

#include "Fuzz/World.h"

namespace camphorstep::fuzz {

enum class CommandKind : std::uint8_t
{
  Write,
  KeyedWrite,
  IdempotentWrite,
  Read,
  ReadOwn,
  Begin,
  WriteInTransaction,
  ReadInTransaction,
  Commit,
  Rollback,
  LeaveCall,
  Wait,
  PauseHost,
  PauseHostAfterStep,
  CrashHost,
  StopHost,
  RestartHost,
  CloseLink,
  SilenceLink,
  MendLink,
  CloseConnections,
  SilenceConnections,
  KillServer,
  CutOffServer,
  IsolateCentre,
  FreezeCentre,
  FreezeAtAnswer,
  WriteWhileIsolated,
  LeaveServer,
  PauseServer,
  ReviveServer,
  SetLag,
  DoubleAnswers,
  Publish,
  TellOldVersion,
};

/// A step of a run. Every command means something in every state, so any
/// part of a list of commands is a valid list too and shrinking is plain
/// removal.
struct Command
{
  CommandKind mKind = CommandKind::Wait;
  std::uint8_t mFirst = 0;
  std::uint8_t mSecond = 0;
};

std::ostream& operator<<(std::ostream& aOut, const Command& aCommand);

/// The lists of commands that runs are made of.
rc::Gen<std::vector<Command>> CommandLists();

/// Carries out one command.
void Apply(World& aWorld, const Command& aCommand);

/// Runs a whole list, heals the world, and lets everything end. Throws
/// OracleFailure. Returns how many calls had each outcome.
std::array<int, 3> RunCommands(std::uint64_t aSeed,
                               const std::vector<Command>& aCommands);

}
