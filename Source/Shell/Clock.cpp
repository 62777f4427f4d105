#include "Shell/Clock.h"

#include <chrono>
#include <ctime>

#include <sodium.h>

namespace camphorstep {

Instant
MonotonicNow()
{
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::seconds(now.tv_sec) +
                 std::chrono::duration_cast<Duration>(
                   std::chrono::nanoseconds(now.tv_nsec)));
}

std::int64_t
WallClockNow()
{
  return std::chrono::duration_cast<Duration>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::uint64_t
RandomBits()
{
  std::uint64_t bits = 0;
  randombytes_buf(&bits, sizeof(bits));
  return bits;
}

}
