#pragma once

#include "Common/Time.h"

namespace camphorstep {

/// The progress of a planned stop, and its time limits.
struct StopState
{
  /// How long after the request new work is still served, so that the balancer
  /// can detect the failing health check.
  Duration mNoticeDelay{ 2'000'000 };
  /// How long after the request work that is still in progress is failed.
  Duration mTimeout{ 30'000'000 };
  Instant mRequestedAt{};
  /// Since when nothing has been in progress.
  Instant mIdleSince{};
  bool mIdle = false;
};

}
