#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

namespace camphorstep::soak {

/// Gateways as processes of their own. Ends those that still run when it goes.
class Gateways
{
public:
  /// Starts processes of a program, each with its settings and its log in a
  /// folder. The platform's store and promotions are on loopback ports. Their
  /// configuration is out of date after a time without confirmation; never if
  /// that is zero.
  Gateways(std::string aProgram,
           std::string aFolder,
           std::size_t aCount,
           std::uint16_t aFirstPort,
           std::uint16_t aStorePort,
           std::chrono::milliseconds aRevokeTimeout);
  ~Gateways();

  Gateways(const Gateways&) = delete;
  Gateways& operator=(const Gateways&) = delete;

  std::size_t Count() const { return mProcesses.size(); }
  std::uint16_t CallerPort(std::size_t aGateway) const;

  /// Sends a process a signal.
  void Signal(std::size_t aGateway, int aSignal) const;

  /// Notes processes that have ended and starts them again. Returns the names
  /// of those that ended by themselves.
  std::vector<std::string> RestartEnded();

private:
  struct Process
  {
    pid_t mId = 0;
    /// Whether the soak has ended or stopped it.
    mutable bool mIsExpected = false;
  };

  void Start(std::size_t aGateway);
  std::string PathOf(std::size_t aGateway, const char* aEnding) const;

  std::string mProgram;
  std::string mFolder;
  std::uint16_t mFirstPort;
  std::uint16_t mStorePort;
  std::vector<Process> mProcesses;
};

}
