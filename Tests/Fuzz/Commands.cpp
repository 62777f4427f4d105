#include "Fuzz/Commands.h"

#include <array>
#include <ostream>

#include "Common/NamedEnum.h"

namespace camphorstep::fuzz {

namespace {

constexpr std::size_t kMaxCommands = 300;
constexpr Duration kShortDeadline = std::chrono::milliseconds(150);
constexpr Duration kDeadline = std::chrono::seconds(2);
constexpr Duration kMaxAge = std::chrono::milliseconds(200);
constexpr Duration kCommandSpacing = std::chrono::milliseconds(30);
constexpr Duration kSettleTime = std::chrono::seconds(4);

/// A kind of command, its name and how often it is drawn.
struct CommandRow
{
  CommandKind mKind;
  const char* mName;
  std::size_t mWeight;
};

constexpr std::array kCommandRows{
  CommandRow{ CommandKind::Write, "Write", 20 },
  CommandRow{ CommandKind::KeyedWrite, "KeyedWrite", 8 },
  CommandRow{ CommandKind::IdempotentWrite, "IdempotentWrite", 6 },
  CommandRow{ CommandKind::Read, "Read", 24 },
  CommandRow{ CommandKind::ReadOwn, "ReadOwn", 30 },
  CommandRow{ CommandKind::Begin, "Begin", 18 },
  CommandRow{ CommandKind::WriteInTransaction, "WriteInTransaction", 24 },
  CommandRow{ CommandKind::ReadInTransaction, "ReadInTransaction", 4 },
  CommandRow{ CommandKind::Commit, "Commit", 12 },
  CommandRow{ CommandKind::Rollback, "Rollback", 2 },
  CommandRow{ CommandKind::LeaveCall, "LeaveCall", 3 },
  CommandRow{ CommandKind::Wait, "Wait", 30 },
  CommandRow{ CommandKind::PauseHost, "PauseHost", 2 },
  CommandRow{ CommandKind::PauseHostAfterStep, "PauseHostAfterStep", 4 },
  CommandRow{ CommandKind::CrashHost, "CrashHost", 1 },
  CommandRow{ CommandKind::StopHost, "StopHost", 1 },
  CommandRow{ CommandKind::RestartHost, "RestartHost", 3 },
  CommandRow{ CommandKind::CloseLink, "CloseLink", 2 },
  CommandRow{ CommandKind::SilenceLink, "SilenceLink", 2 },
  CommandRow{ CommandKind::MendLink, "MendLink", 4 },
  CommandRow{ CommandKind::CloseConnections, "CloseConnections", 2 },
  CommandRow{ CommandKind::SilenceConnections, "SilenceConnections", 2 },
  CommandRow{ CommandKind::KillServer, "KillServer", 1 },
  CommandRow{ CommandKind::CutOffServer, "CutOffServer", 2 },
  CommandRow{ CommandKind::IsolateCentre, "IsolateCentre", 6 },
  CommandRow{ CommandKind::FreezeCentre, "FreezeCentre", 3 },
  CommandRow{ CommandKind::FreezeAtAnswer, "FreezeAtAnswer", 4 },
  CommandRow{ CommandKind::WriteWhileIsolated, "WriteWhileIsolated", 2 },
  CommandRow{ CommandKind::LeaveServer, "LeaveServer", 0 },
  CommandRow{ CommandKind::PauseServer, "PauseServer", 1 },
  CommandRow{ CommandKind::ReviveServer, "ReviveServer", 5 },
  CommandRow{ CommandKind::SetLag, "SetLag", 8 },
  CommandRow{ CommandKind::DoubleAnswers, "DoubleAnswers", 4 },
  CommandRow{ CommandKind::Publish, "Publish", 2 },
  CommandRow{ CommandKind::TellOldVersion, "TellOldVersion", 2 },
};

const CommandRow&
RowOf(CommandKind aKind)
{
  return kCommandRows.at(static_cast<std::size_t>(aKind));
}

const char*
ServiceOf(std::size_t aCaller)
{
  constexpr std::array kServices{
    "technicians", "desk", "technicians", "borrowers"
  };
  return kServices.at(aCaller % kServices.size());
}

std::string
NewKey(World& aWorld, const char* aPrefix)
{
  return aPrefix + std::to_string(aWorld.NextSerial());
}

/// Hands a call to a host unless the caller still waits for another.
void
MakeCall(World& aWorld, const Command& aCommand, CallRecord aCall)
{
  const std::size_t who = aCommand.mFirst % kCallerCount;
  const std::size_t host = aCommand.mSecond % kHostCount;
  SimulatedCaller& caller = aWorld.mCallers[who];
  if (caller.mCall || !aWorld.mHosts[host].mUp) {
    return;
  }
  CallerRequest& request = aCall.mRequest;
  request.mService = ServiceOf(who);
  request.mDatabase = "records";
  request.mSessionToken = caller.mToken;
  const bool isShort = aCommand.mSecond >= 200;
  aCall.mTimeLeft = isShort ? kShortDeadline : kDeadline;
  request.mDeadline = aCall.mTimeLeft;
  aWorld.Call(host, who, std::move(aCall));
}

SimulatedCaller&
CallerOf(World& aWorld, const Command& aCommand)
{
  return aWorld.mCallers[aCommand.mFirst % kCallerCount];
}

void
Write(World& aWorld, const Command& aCommand)
{
  SimulatedCaller& caller = CallerOf(aWorld, aCommand);
  if (caller.mCall) {
    return;
  }
  std::string key = NewKey(aWorld, "w");
  CallRecord call;
  if (aCommand.mKind == CommandKind::KeyedWrite) {
    if (!caller.mUnsettled.empty()) {
      key = caller.mUnsettled;
    }
    caller.mUnsettled = key;
    call.mRequest.mKey = key;
  }
  call.mRequest.mIdempotent = aCommand.mKind == CommandKind::IdempotentWrite;
  call.mRequest.mWrite = true;
  call.mRequest.mText = "put " + key + " v" + key;
  call.mExpected = "v" + key;
  call.mPutKeys = { key };
  MakeCall(aWorld, aCommand, std::move(call));
}

/// One of some keys, the latest ones first.
std::string
PickKey(const World& aWorld, const std::vector<std::string>& aKeys)
{
  constexpr std::uint64_t kRecent = 3;
  if (aKeys.empty()) {
    return {};
  }
  const std::uint64_t back = aWorld.Draw(aKeys.size()) % kRecent;
  return aKeys[aKeys.size() - 1 -
               std::min<std::size_t>(back, aKeys.size() - 1)];
}

void
Read(World& aWorld, const Command& aCommand)
{
  const SimulatedCaller& caller = CallerOf(aWorld, aCommand);
  const bool own = aCommand.mKind == CommandKind::ReadOwn;
  const SimulatedCaller& other =
    aWorld.mCallers[aCommand.mSecond / kHostCount % kCallerCount];
  const std::string key =
    PickKey(aWorld, own ? caller.mWritten : other.mWritten);
  if (key.empty()) {
    return;
  }
  const bool bySession = ServiceOf(aCommand.mFirst % kCallerCount) ==
                           std::string_view("technicians") &&
                         !caller.mToken.empty();
  const bool aged =
    ServiceOf(aCommand.mFirst % kCallerCount) == std::string_view("borrowers");
  CallRecord call;
  call.mRequest.mText = "get " + key;
  call.mExpected = "v" + key;
  call.mReadKey = key;
  call.mOwnWrite = own;
  call.mMustBeFresh =
    !bySession && aWorld.mOracle.IsAcknowledged(
                    key, aWorld.mNow - (aged ? kMaxAge : Duration{ 0 }));
  MakeCall(aWorld, aCommand, std::move(call));
}

void
Transact(World& aWorld, const Command& aCommand)
{
  SimulatedCaller& caller = CallerOf(aWorld, aCommand);
  const bool begins = aCommand.mKind == CommandKind::Begin;
  if (caller.mCall || begins == (caller.mTransaction != 0)) {
    return;
  }
  CallRecord call;
  if (begins) {
    caller.mTransaction = aWorld.NextSerial();
    call.mRequest.mOperation = CallerOperation::Begin;
  }
  call.mTransaction = caller.mTransaction;
  call.mRequest.mTransaction = caller.mHandle;
  const std::string prefix = "t" + std::to_string(caller.mTransaction) + "-";
  if (aCommand.mKind == CommandKind::WriteInTransaction) {
    const std::string key = NewKey(aWorld, prefix.c_str());
    call.mRequest.mWrite = true;
    call.mRequest.mText = "put " + key + " v" + key;
    call.mExpected = "v" + key;
    call.mPutKeys = { key };
  } else if (aCommand.mKind == CommandKind::ReadInTransaction) {
    call.mReadKey = PickKey(aWorld, caller.mTransactionKeys);
    if (call.mReadKey.empty()) {
      return;
    }
    call.mRequest.mText = "get " + call.mReadKey;
    call.mExpected = "v" + call.mReadKey;
    call.mOwnWrite = true;
  } else if (aCommand.mKind == CommandKind::Commit) {
    call.mRequest.mOperation = CallerOperation::Commit;
    call.mPutKeys = caller.mTransactionKeys;
  } else if (aCommand.mKind == CommandKind::Rollback) {
    call.mRequest.mOperation = CallerOperation::Rollback;
  }
  MakeCall(aWorld, aCommand, std::move(call));
  if (begins && !caller.mCall) {
    caller.mTransaction = 0;
  }
}

void
LeaveCall(World& aWorld, const Command& aCommand)
{
  const SimulatedCaller& caller = CallerOf(aWorld, aCommand);
  if (caller.mCall) {
    aWorld.Deliver(caller.mHost, CallerGone{ caller.mCall });
  }
}

Duration
Milliseconds(std::uint8_t aDraw, int aFactor)
{
  return std::chrono::milliseconds(aDraw * aFactor);
}

/// A duration up to 255 times a number of milliseconds, mostly much less.
Duration
MostlyShort(std::uint8_t aDraw, int aFactor)
{
  constexpr int kRange = 256;
  return Milliseconds(aDraw, aDraw * aFactor) / kRange;
}

Duration
FaultTime(const Command& aCommand)
{
  return MostlyShort(aCommand.mSecond, 24);
}

/// Long enough for a change of primary, or not quite.
Duration
SplitTime(const Command& aCommand)
{
  return std::chrono::milliseconds(500) + Milliseconds(aCommand.mSecond, 20);
}

void
Disturb(World& aWorld, const Command& aCommand)
{
  const std::size_t first = aCommand.mFirst % kHostCount;
  const std::size_t second = (first + 1 + aCommand.mSecond % 2) % kHostCount;
  switch (aCommand.mKind) {
    case CommandKind::PauseHost:
    case CommandKind::PauseHostAfterStep:
      aWorld.Pause(first,
                   MostlyShort(aCommand.mSecond, 12),
                   aCommand.mKind == CommandKind::PauseHostAfterStep);
      break;
    case CommandKind::CrashHost:
      aWorld.Crash(first);
      break;
    case CommandKind::StopHost:
      aWorld.Deliver(first, StopRequested{});
      break;
    case CommandKind::RestartHost:
      aWorld.Restart(first);
      break;
    case CommandKind::CloseLink:
    case CommandKind::SilenceLink:
      aWorld.BreakLink(
        first, second, aCommand.mKind == CommandKind::SilenceLink);
      break;
    case CommandKind::MendLink:
      aWorld.MendLink(first, second);
      break;
    case CommandKind::Publish:
    case CommandKind::TellOldVersion:
      aWorld.TellVersion(first, aCommand.mKind == CommandKind::Publish);
      break;
    default:
      break;
  }
}

/// The caller whose profile is content with the primary's word.
constexpr std::uint8_t kBorrower = 3;

/// Cuts a data centre with a primary off, and has a caller there go on writing
/// until others have promoted a server.
void
WriteWhileIsolated(World& aWorld, const Command& aCommand)
{
  constexpr int kWrites = 40;
  const std::uint8_t centre = aCommand.mFirst % kServerCount;
  if (!aWorld.mServers[centre]->IsPrimary()) {
    return;
  }
  aWorld.Isolate(centre, SplitTime(aCommand));
  for (int n = 0; n < kWrites; ++n) {
    Write(aWorld, { CommandKind::Write, kBorrower, centre });
    aWorld.Advance(kCommandSpacing);
  }
}

/// Has a caller write whose profile is content with the primary's word, and
/// stops the host and the primary when the acknowledgement is about to leave.
void
FreezeAtAnswer(World& aWorld, const Command& aCommand)
{
  const std::uint8_t host = aCommand.mFirst % kHostCount;
  Write(aWorld, { CommandKind::Write, kBorrower, host });
  aWorld.FreezeAtAcknowledgement(host, SplitTime(aCommand));
}

void
DisturbServer(World& aWorld, const Command& aCommand)
{
  const std::size_t n = aCommand.mFirst % kServerCount;
  FakeServer& server = *aWorld.mServers[n];
  switch (aCommand.mKind) {
    case CommandKind::CloseConnections:
    case CommandKind::SilenceConnections:
      aWorld.BreakConnections(
        n, aCommand.mKind == CommandKind::SilenceConnections);
      break;
    case CommandKind::KillServer:
      aWorld.KillServer(n);
      aWorld.ReviveLater(n, FaultTime(aCommand));
      break;
    case CommandKind::CutOffServer:
      server.mCutOff = true;
      aWorld.ReviveLater(n, FaultTime(aCommand));
      break;
    case CommandKind::IsolateCentre:
      aWorld.Isolate(n, SplitTime(aCommand));
      break;
    case CommandKind::FreezeCentre:
      aWorld.Pause(n, SplitTime(aCommand), true);
      server.mPaused = true;
      aWorld.ReviveLater(n, SplitTime(aCommand));
      break;
    case CommandKind::LeaveServer:
      aWorld.AnnounceLeaving(n, FaultTime(aCommand));
      break;
    case CommandKind::PauseServer:
      server.mPaused = true;
      aWorld.ReviveLater(n, FaultTime(aCommand));
      break;
    case CommandKind::ReviveServer:
      aWorld.Revive(n);
      break;
    case CommandKind::SetLag:
      server.mLag = Milliseconds(aCommand.mSecond, 20);
      break;
    default:
      break;
  }
}

}

std::ostream&
operator<<(std::ostream& aOut, const Command& aCommand)
{
  return aOut << RowOf(aCommand.mKind).mName << "("
              << static_cast<int>(aCommand.mFirst) << ", "
              << static_cast<int>(aCommand.mSecond) << ")";
}

rc::Gen<std::vector<Command>>
CommandLists()
{
  std::vector<CommandKind> kinds;
  for (const CommandRow& row : kCommandRows) {
    kinds.insert(kinds.end(), row.mWeight, row.mKind);
  }
  const auto one = rc::gen::build<Command>(
    rc::gen::set(&Command::mKind, rc::gen::elementOf(kinds)),
    rc::gen::set(&Command::mFirst, rc::gen::arbitrary<std::uint8_t>()),
    rc::gen::set(&Command::mSecond, rc::gen::arbitrary<std::uint8_t>()));
  return rc::gen::resize(kMaxCommands,
                         rc::gen::container<std::vector<Command>>(one));
}

void
Apply(World& aWorld, const Command& aCommand)
{
  switch (aCommand.mKind) {
    case CommandKind::Write:
    case CommandKind::KeyedWrite:
    case CommandKind::IdempotentWrite:
      Write(aWorld, aCommand);
      break;
    case CommandKind::Read:
    case CommandKind::ReadOwn:
      Read(aWorld, aCommand);
      break;
    case CommandKind::Begin:
    case CommandKind::WriteInTransaction:
    case CommandKind::ReadInTransaction:
    case CommandKind::Commit:
    case CommandKind::Rollback:
      Transact(aWorld, aCommand);
      break;
    case CommandKind::LeaveCall:
      LeaveCall(aWorld, aCommand);
      break;
    case CommandKind::Wait:
      aWorld.Advance(MostlyShort(aCommand.mFirst, 1));
      break;
    case CommandKind::FreezeAtAnswer:
      FreezeAtAnswer(aWorld, aCommand);
      break;
    case CommandKind::WriteWhileIsolated:
      WriteWhileIsolated(aWorld, aCommand);
      break;
    case CommandKind::DoubleAnswers:
      aWorld.DoubleAnswers(1 + aCommand.mFirst % 8);
      break;
    default:
      Disturb(aWorld, aCommand);
      DisturbServer(aWorld, aCommand);
      break;
  }
}

std::array<int, 3>
RunCommands(std::uint64_t aSeed, const std::vector<Command>& aCommands)
{
  World world(aSeed);
  world.Advance(std::chrono::milliseconds(200));
  for (const Command& command : aCommands) {
    Apply(world, command);
    world.Advance(kCommandSpacing);
  }
  world.Heal();
  world.Advance(kSettleTime);
  return world.mOracle.mOutcomes;
}

}
