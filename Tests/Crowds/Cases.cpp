#include "Cases.h"

#include <utility>

namespace camphorstep::crowds {

const std::string kDatabase = "mainline";
const std::string kLargeItem = "large";

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kOversizedBytes = 16 * 1024 * 1024;
constexpr std::size_t kSmallPiece = 4'096;
constexpr std::size_t kValueBytes = 60'000;
constexpr std::size_t kFewDescriptors = 160;
const std::string kEnd = "\r\n";

std::string
Startup()
{
  return "STARTUP " + kDatabase + " crowd" + kEnd;
}

std::string
Query(const std::string& aText)
{
  return "QUERY q " + aText + kEnd;
}

std::string
SetValue(std::size_t aNumber)
{
  return Query("SET value" + std::to_string(aNumber) + " " +
               std::string(kValueBytes, 'v'));
}

/// Parts that are sent once, in order.
std::function<std::string(std::size_t)>
Once(std::vector<std::string> aParts)
{
  return [parts = std::move(aParts)](std::size_t aPart) {
    return aPart < parts.size() ? parts[aPart] : std::string();
  };
}

/// An opening, and then the same part again and again.
std::function<std::string(std::size_t)>
Repeated(const std::string& aOpening,
         const std::string& aPart,
         std::size_t aTimes)
{
  return [=](std::size_t aNumber) {
    if (aNumber == 0) {
      return aOpening;
    }
    return aNumber <= aTimes ? aPart : std::string();
  };
}

/// Prepares names until there are many.
std::string
PrepareMany(std::size_t aPart)
{
  constexpr std::size_t kNames = 20'000;
  constexpr std::size_t kShapeBytes = 600;
  if (aPart == 0) {
    return Startup();
  }
  return aPart <= kNames ? Query("PREPARE statement-" + std::to_string(aPart) +
                                 " READ " + std::string(kShapeBytes, 's'))
                         : std::string();
}

/// Sets values and then has a server hold them, in a transaction or not.
std::function<std::string(std::size_t)>
SetMany(std::size_t aValues, bool aInTransaction)
{
  return [=](std::size_t aPart) {
    if (aPart == 0) {
      return Startup();
    }
    if (aPart <= aValues) {
      return SetValue(aPart);
    }
    if (aPart == aValues + 1) {
      return aInTransaction ? Query("BEGIN") + Query("READ small")
                            : Query("READ small");
    }
    return std::string();
  };
}

Behaviour
MakeBehaviour(std::size_t aMembers,
              std::function<std::string(std::size_t)> aPart)
{
  Behaviour behaviour;
  behaviour.mMembers = aMembers;
  behaviour.mPart = std::move(aPart);
  return behaviour;
}

/// Has the members read their answers as fast as they come.
Behaviour
Reading(Behaviour aBehaviour)
{
  aBehaviour.mReadBytes = 64 * 1024;
  return aBehaviour;
}

std::vector<Case>
InputCases()
{
  const std::string legal =
    Query("WRITE item " + std::string(kLegalBytes, 'w'));
  const std::string begun =
    "QUERY q WRITE item " + std::string(kLegalBytes, 'w');
  Behaviour pieces = Reading(MakeBehaviour(100, Once({ Startup(), legal })));
  pieces.mPieceBytes = kSmallPiece;
  Behaviour slow = MakeBehaviour(250, Once({ Startup(), begun }));
  slow.mFastBytes = 200'000;
  slow.mSendPause = 50ms;
  slow.mPieceBytes = 2'000;
  return {
    { "whole-messages",
      Reading(MakeBehaviour(100, Once({ Startup(), legal }))) },
    { "small-pieces", pieces },
    { "stopped-in-opening",
      MakeBehaviour(100,
                    Once({ "STARTUP " + std::string(kLegalBytes, 's') })) },
    { "stopped-in-statement", MakeBehaviour(100, Once({ Startup(), begun })) },
    { "stopped-in-transaction",
      MakeBehaviour(
        100,
        Once({ Startup(), Query("BEGIN") + Query("READ small"), begun })) },
    { "oversized",
      MakeBehaviour(
        100,
        Once({ Startup(),
               "QUERY q WRITE item " + std::string(kOversizedBytes, 'w') })) },
    { "slow-senders", slow },
  };
}

std::vector<Case>
OutputCases()
{
  const std::string read = Query("READ " + kLargeItem);
  Behaviour slow = MakeBehaviour(60, Repeated(Startup(), read, 40));
  slow.mReadBytes = 1'000;
  slow.mReadPause = 50ms;
  return {
    { "sent-ahead-small",
      MakeBehaviour(60, Repeated(Startup(), Query("READ small"), 40'000)) },
    { "sent-ahead-large", MakeBehaviour(60, Repeated(Startup(), read, 40)) },
    { "large-answers",
      Reading(MakeBehaviour(100, Repeated(Startup(), read, 8))) },
    { "slow-readers", slow },
  };
}

std::vector<Case>
SessionCases()
{
  return {
    { "names", Reading(MakeBehaviour(10, PrepareMany)) },
    { "values", Reading(MakeBehaviour(60, SetMany(20, false))) },
    { "open-transactions", Reading(MakeBehaviour(60, SetMany(15, true))) },
  };
}

std::vector<Case>
DescriptorCases()
{
  const ProcessLimits few{ 64, kFewDescriptors };
  const Behaviour silent = MakeBehaviour(300, Once({}));
  return {
    { "silent-callers", silent, Listener::Callers, few, true },
    { "silent-readiness", silent, Listener::Readiness, few, true },
    { "silent-peers", silent, Listener::Peers, few, true },
    { "silent-metrics", silent, Listener::Metrics, few, true },
    { "idle-sessions",
      Reading(MakeBehaviour(300, Once({ Startup() }))),
      Listener::Callers,
      few },
  };
}

std::vector<Case>
OtherListenerCases()
{
  // Announces a frame of 4 MB and sends a part of it.
  const std::string frame =
    std::string("\x00\x00\x40\x00", 4) + std::string(kLegalBytes, 'f');
  const std::string get = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
  return {
    { "peers-frames", MakeBehaviour(100, Once({ frame })), Listener::Peers },
    { "metrics-unread",
      MakeBehaviour(60, Repeated(get, get, 3'000)),
      Listener::Metrics },
    { "readiness-unread",
      MakeBehaviour(60, Repeated(get, get, 20'000)),
      Listener::Readiness },
  };
}

}

std::vector<Case>
AllCases()
{
  std::vector<Case> cases;
  for (const auto& some : { InputCases(),
                            OutputCases(),
                            SessionCases(),
                            DescriptorCases(),
                            OtherListenerCases() }) {
    cases.insert(cases.end(), some.begin(), some.end());
  }
  return cases;
}

}
