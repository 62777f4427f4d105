#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "Common/Time.h"

namespace camphorstep {

/// How long a caller may take.
struct CallerTimeouts
{
  /// From the connection to the opening of the session.
  Duration mOpening{ 10'000'000 };
  /// From the first to the last byte of a message.
  Duration mMessage{ 30'000'000 };
  /// Until it has read its answers.
  Duration mAnswer{ 60'000'000 };

  bool operator==(const CallerTimeouts&) const = default;
};

/// Since when a host has been waiting for something from a caller.
struct CallerWait
{
  std::optional<Instant> mOpeningSince;
  std::optional<Instant> mMessageSince;
  std::optional<Instant> mAnswerSince;
};

/// What a caller has not done in time.
enum class OverdueCaller : std::uint8_t
{
  None,
  Opening,
  Message,
  Answer,
};

/// What is unfinished on a caller's connection.
struct CallerProgress
{
  bool mIsOpen = false;
  /// Whether a message has begun and not ended.
  bool mHasPartialMessage = false;
  bool mHasUnreadAnswer = false;
};

/// Whether nothing is unfinished.
bool IsFinished(const CallerProgress& aProgress);

/// Starts the times of what is unfinished, and ends those of the rest.
void UpdateWait(CallerWait& aWait,
                const CallerProgress& aProgress,
                Instant aNow);

OverdueCaller FindOverdue(const CallerWait& aWait,
                          const CallerTimeouts& aTimeouts,
                          Instant aNow);

}
