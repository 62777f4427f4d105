#pragma once

#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

#include "Gateways.h"
#include "Keys.h"
#include "Ledger.h"

namespace camphorstep::soak {

/// What all callers did.
struct CallerCounts
{
  std::atomic<std::uint64_t> mServed{ 0 };
  std::atomic<std::uint64_t> mRefused{ 0 };
  std::atomic<std::uint64_t> mBroken{ 0 };
};

/// Callers in threads of their own. Each keeps its session until the gateway
/// closes it, and then goes to another one.
class Callers
{
public:
  Callers(const Gateways& aGateways,
          Ledger& aLedger,
          const Keys& aKeys,
          std::uint64_t aSeed);
  /// Has them finish what they do, and waits for it.
  ~Callers();

  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  CallerCounts mCounts;

private:
  std::atomic<bool> mStopping{ false };
  std::vector<std::thread> mThreads;
};

}
