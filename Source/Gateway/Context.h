#pragma once

#include <string_view>
#include <vector>

#include "Gateway/Effect.h"
#include "Gateway/State.h"

namespace camphorstep::gateway {

/// What the functions of all subsystems work on during one step.
struct Context
{
  State& mState;
  Instant mNow;
  std::vector<Effect>& mEffects;
};

/// Adds an effect.
void Emit(Context& aContext, Effect aEffect);

/// Emits a log record.
void Log(Context& aContext,
         LogSeverity aSeverity,
         std::string_view aEvent,
         std::vector<LogValue> aValues = {});

/// Draws an identifier that is new in this process.
template<typename Id>
Id
NewId(Context& aContext)
{
  return Id{ ++aContext.mState.mLastId };
}

/// Finds an item by its identifier, or nullptr.
template<typename Map, typename Key>
auto*
Find(Map& aMap, const Key& aKey)
{
  const auto it = aMap.find(aKey);
  return it == aMap.end() ? nullptr : &it->second;
}

/// Writes a time span as whole milliseconds.
std::string Milliseconds(Duration aDuration);

/// Writes a position as "term.index".
std::string Describe(const Position& aPosition);

}
