#pragma once

#include <string_view>
#include <vector>

#include "Gateway/Effect.h"
#include "Gateway/State.h"

namespace camphorstep::gateway {

/// The state, the time and the effects of one step, passed to the functions of
/// all subsystems.
struct Context
{
  State& mState;
  Instant mNow;
  std::vector<Effect>& mEffects;
};

/// Appends an effect to those of the step.
void Emit(Context& aContext, Effect aEffect);

/// Emits a log record.
void Log(Context& aContext,
         LogSeverity aSeverity,
         std::string_view aEvent,
         std::vector<LogValue> aValues = {});

/// Emits a log record on something that a caller was refused, but only so many
/// in a second. The next one tells how many were left out.
void LogRefusal(Context& aContext,
                std::string_view aEvent,
                std::vector<LogValue> aValues);

/// Returns an identifier that has not been used in this process.
template<typename Id>
Id
NewId(Context& aContext)
{
  return Id{ ++aContext.mState.mLastId };
}

/// Returns the item with a key, or nullptr if there is none.
template<typename Map, typename Key>
auto*
Find(Map& aMap, const Key& aKey)
{
  const auto it = aMap.find(aKey);
  return it == aMap.end() ? nullptr : &it->second;
}

/// Formats a duration as whole milliseconds, rounded towards zero.
std::string Milliseconds(Duration aDuration);

/// Formats a log position as "term.index".
std::string Describe(const Position& aPosition);

}
