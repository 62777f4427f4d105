#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <sys/types.h>

namespace camphorstep::crowds {

/// The limits that a gateway's settings give its process.
struct ProcessLimits
{
  std::size_t mMemoryMb = 0;
  std::size_t mDescriptors = 0;
};

/// What a process takes of its machine.
struct ProcessUsage
{
  /// The most memory that was resident so far.
  std::size_t mPeakBytes = 0;
  /// The memory that is resident now, and what its sockets have received and
  /// the process has not read.
  std::size_t mBytes = 0;
  std::size_t mDescriptors = 0;
};

/// A gateway as a process of its own on loopback ports: callers, readiness,
/// peers and metrics. Ends it when it goes.
class GatewayProcess
{
public:
  /// Starts the program with its settings and its log in a folder. The system
  /// gives it no more descriptors than its settings say.
  GatewayProcess(const std::string& aProgram,
                 const std::string& aFolder,
                 std::uint16_t aFirstPort,
                 std::uint16_t aSitePort,
                 const ProcessLimits& aLimits);
  ~GatewayProcess();

  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  /// Whether it has not ended by itself.
  bool IsAlive();

  ProcessUsage Usage() const;

private:
  std::uint16_t mFirstPort;
  pid_t mId = 0;
};

}
