#pragma once

#include <functional>
#include <thread>

namespace camphorstep {

/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and those it
/// starts afterwards, so that only StopSignal sees them. Call it first in
/// main.
void BlockStopSignals();

/// Calls a function once when the process is asked to stop, and another one
/// whenever it is asked to read its settings again.
class StopSignal
{
public:
  explicit StopSignal(
    std::function<void()> aOnStop,
    std::function<void()> aOnReload = [] {});
  ~StopSignal();

  StopSignal(const StopSignal&) = delete;
  StopSignal& operator=(const StopSignal&) = delete;

private:
  std::thread mThread;
};

}
