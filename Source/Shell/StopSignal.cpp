#include "Shell/StopSignal.h"

#include <csignal>
#include <utility>

#include <pthread.h>

namespace camphorstep {

namespace {

/// Ends the waiting thread without any stop being asked for.
constexpr int kWakeSignal = SIGUSR1;

sigset_t
StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, kWakeSignal);
  return signals;
}

}

void
BlockStopSignals()
{
  const sigset_t signals = StopSignals();
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

StopSignal::StopSignal(std::function<void()> aOnStop,
                       std::function<void()> aOnReload)
  : mThread([onStop = std::move(aOnStop), onReload = std::move(aOnReload)] {
    const sigset_t signals = StopSignals();
    int received = 0;
    while (::sigwait(&signals, &received) == 0 && received == SIGHUP) {
      onReload();
    }
    if (received != kWakeSignal) {
      onStop();
    }
  })
{
}

StopSignal::~StopSignal()
{
  ::pthread_kill(mThread.native_handle(), kWakeSignal);
  mThread.join();
}

}
