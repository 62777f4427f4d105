#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Load/LoadSettings.h"

namespace camphorstep {

/// Watches the health checks of all proxies, as the platform's balancer does.
class Balancer
{
public:
  explicit Balancer(const LoadSettings& aSettings);
  ~Balancer();

  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  /// Waits for a healthy proxy and picks one; the number spreads callers.
  std::size_t Pick(std::uint64_t aNumber) const;

private:
  void Watch(std::size_t aProxy);

  const std::vector<Address>& mProxies;
  std::vector<std::atomic<bool>> mHealthy;
  std::atomic<bool> mEnding{ false };
  std::vector<std::thread> mWatchers;
};

/// What steady callers met.
struct SteadyFigures
{
  std::atomic<std::uint64_t> mRequests{ 0 };
  /// Requests without the outcome "done".
  std::atomic<std::uint64_t> mFailed{ 0 };
  std::atomic<std::uint64_t> mTransactions{ 0 };
  /// Transactions that began and did not commit.
  std::atomic<std::uint64_t> mCutTransactions{ 0 };
};

/// Runs callers behind a balancer for a time: each writes and reads, alone
/// and in transactions that last a while, and goes to any healthy proxy for
/// new work.
void RunSteadyCallers(const LoadSettings& aSettings,
                      Duration aDuration,
                      SteadyFigures& aFigures);

/// The scenario "steady": prints what the callers met.
void RunSteady(const LoadSettings& aSettings);

}
