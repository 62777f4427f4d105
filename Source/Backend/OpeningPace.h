#pragma once

#include <cstdint>

#include "Common/Time.h"

// How many connections to a server are opened at the same time. Each opening
// takes one of the server's slots for a while. When all hosts start together,
// their openings would fill the slots for longer than callers wait, so openings
// begin one at a time and increase while the server is quick, as in a
// congestion window.

namespace camphorstep::gateway {

/// How openings of connections to a server have gone.
struct OpeningPace
{
  /// The most openings at the same time.
  std::uint32_t mWindow = 1;
  /// Openings in a row that the server has refused for too many connections.
  std::uint32_t mTurnedAway = 0;
};

/// Records an opening that has succeeded, and how long it took. The window
/// grows after a quick one, and begins anew after a slow one.
void RecordOpened(OpeningPace& aPace, Duration aTime);

/// Records an opening that has failed.
void RecordOpeningFailed(OpeningPace& aPace);

/// Records an opening that the server refused for too many connections. Returns
/// the delay before the next one, which grows: all hosts wait for the same
/// connections to be closed.
Duration RecordTurnedAway(OpeningPace& aPace);

}
