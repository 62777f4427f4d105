#include "Standin/Faults.h"

#include <thread>

namespace camphorstep {

namespace {

constexpr Duration kPausePollInterval = std::chrono::milliseconds(1);

}

void
Faults::WaitWhilePaused() const
{
  while (mPaused) {
    SleepFor(kPausePollInterval);
  }
}

void
SleepFor(Duration aDuration)
{
  std::this_thread::sleep_for(aDuration);
}

}
