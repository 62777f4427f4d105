#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include <sys/types.h>

#include <cxxtools/net/tcpstream.h>

#include "Shell/GatewayRuntime.h"

namespace camphorstep::standin {

/// What distinguishes a gateway from others of its site.
struct GatewayOptions
{
  std::string mHostName = "h1";
  double mProcessorShare = 1.0;
  /// Whether it passes sessions on to owners of connections.
  bool mIsRelaying = false;
  /// After how long without confirmation its configuration is out of date; zero
  /// turns that off.
  std::chrono::milliseconds mRevokeTimeout{ 0 };
};

/// A gateway on loopback ports from a first one on, in a thread of its own. It
/// uses the stand-in site whose ports begin at another one.
class LocalGateway
{
public:
  /// Starts the gateway, which holds no state of an earlier one.
  LocalGateway(std::uint16_t aFirstPort,
               std::uint16_t aSitePort,
               const GatewayOptions& aOptions = {});

  /// Has the gateway stop as planned and waits for it.
  ~LocalGateway();

  LocalGateway(const LocalGateway&) = delete;
  LocalGateway& operator=(const LocalGateway&) = delete;

private:
  std::string mSettingsPath;
  std::unique_ptr<GatewayRuntime> mRuntime;
  std::thread mThread;
};

/// A gateway in a process of its own, which can be killed and frozen. Must be
/// started while the test has no other threads.
class GatewayProcess
{
public:
  GatewayProcess(std::uint16_t aFirstPort,
                 std::uint16_t aSitePort,
                 const GatewayOptions& aOptions);

  /// Kills the process.
  ~GatewayProcess();

  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  void Kill();
  void Freeze();

  /// The value of a metric without labels; zero if it cannot be read.
  std::uint64_t MetricOf(const std::string& aName) const;

private:
  std::uint16_t mFirstPort;
  std::string mSettingsPath;
  pid_t mProcess = 0;
};

/// A caller that waits for each answer.
class Caller
{
public:
  /// Opens a session for a database at a port of this machine.
  Caller(std::uint16_t aPort,
         const std::string& aDatabase,
         const std::string& aKey = "user");

  /// Sends a query. Returns the lines of the answer before its end.
  std::string Query(const std::string& aText);

  /// What came before the session was ready; empty if it was accepted.
  std::string mWelcome;
  /// The line that ended the last answer.
  std::string mReady;

private:
  std::string Exchange(const std::string& aLine);

  cxxtools::net::TcpStream mStream;
  int mQueries = 0;
};

/// Opens a session once the gateway serves the database; nullptr if it does
/// not within 3 s.
std::unique_ptr<Caller> OpenWhenServed(std::uint16_t aPort,
                                       const std::string& aDatabase,
                                       const std::string& aKey = "user");

}
