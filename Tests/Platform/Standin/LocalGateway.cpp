#include "LocalGateway.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <utility>

#include <sys/wait.h>
#include <unistd.h>

#include "Common/Log.h"
#include "platform/Adapter.h"

namespace camphorstep::standin {

namespace {

using namespace std::chrono_literals;

/// How long an answer may take, in milliseconds.
constexpr double kAnswerTimeoutMs = 8'000.0;

std::string
AddressText(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

/// Writes the settings of a gateway; returns the path of their file.
std::string
WriteSettings(std::uint16_t aFirstPort,
              std::uint16_t aSitePort,
              const GatewayOptions& aOptions)
{
  std::string path = "camphorstep-" + std::to_string(aFirstPort) + ".ini";
  std::ofstream out(path);
  out << "[host]\nname = " << aOptions.mHostName
      << "\ndata_centre = a\nprocessor_share = " << aOptions.mProcessorShare
      << "\n[listen]\ncallers = " << AddressText(aFirstPort)
      << "\nreadiness = " << AddressText(aFirstPort + 1)
      << "\npeers = " << AddressText(aFirstPort + 2)
      << "\nmetrics = " << AddressText(aFirstPort + 3)
      << "\n[stop]\ngrace_ms = 2000\n[relay]\nenabled = "
      << (aOptions.mIsRelaying ? "yes" : "no")
      << "\n[accounts]\nrevoke_ms = " << aOptions.mRevokeTimeout.count()
      << "\n[platform]\nstore = " << AddressText(aSitePort)
      << "\npromotions = " << AddressText(aSitePort + 1)
      << "\n[data_centre.a]\nregion = r\n";
  return path;
}

}

LocalGateway::LocalGateway(std::uint16_t aFirstPort,
                           std::uint16_t aSitePort,
                           const GatewayOptions& aOptions)
  : mSettingsPath(WriteSettings(aFirstPort, aSitePort, aOptions))
{
  mRuntime =
    std::make_unique<GatewayRuntime>(mSettingsPath, platform::MakeAdapter);
  mThread = std::thread([this] { mRuntime->Run(); });
}

LocalGateway::~LocalGateway()
{
  mRuntime->RequestStop();
  mThread.join();
  std::remove(mSettingsPath.c_str());
}

GatewayProcess::GatewayProcess(std::uint16_t aFirstPort,
                               std::uint16_t aSitePort,
                               const GatewayOptions& aOptions)
  : mFirstPort(aFirstPort)
  , mSettingsPath(WriteSettings(aFirstPort, aSitePort, aOptions))
{
  // What is buffered would be written by both processes.
  std::cout.flush();
  mProcess = ::fork();
  if (mProcess != 0) {
    return;
  }
  try {
    GatewayRuntime(mSettingsPath, platform::MakeAdapter).Run();
  } catch (const std::exception& ex) {
    WriteLog(LogLevel::Error, "gateway failed", { { "error", ex.what() } });
  }
  ::_exit(0);
}

GatewayProcess::~GatewayProcess()
{
  Kill();
  std::remove(mSettingsPath.c_str());
}

void
GatewayProcess::Kill()
{
  if (mProcess > 0) {
    ::kill(mProcess, SIGKILL);
    ::waitpid(std::exchange(mProcess, 0), nullptr, 0);
  }
}

void
GatewayProcess::Freeze()
{
  ::kill(mProcess, SIGSTOP);
}

std::uint64_t
GatewayProcess::MetricOf(const std::string& aName) const
{
  try {
    cxxtools::net::TcpStream stream("127.0.0.1",
                                    static_cast<std::uint16_t>(mFirstPort + 3));
    stream.socket().setTimeout(cxxtools::Milliseconds(kAnswerTimeoutMs));
    stream << "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
           << std::flush;
    for (std::string line; std::getline(stream, line);) {
      if (line.starts_with(aName + " ")) {
        return std::stoull(line.substr(aName.size() + 1));
      }
    }
  } catch (const std::exception&) {
    return 0;
  }
  return 0;
}

Caller::Caller(std::uint16_t aPort,
               const std::string& aDatabase,
               const std::string& aKey)
  : mStream("127.0.0.1", aPort)
{
  mStream.socket().setTimeout(cxxtools::Milliseconds(kAnswerTimeoutMs));
  mWelcome = Exchange("STARTUP " + aDatabase + " " + aKey);
}

std::string
Caller::Query(const std::string& aText)
{
  return Exchange("QUERY q" + std::to_string(++mQueries) + " " + aText);
}

std::string
Caller::Exchange(const std::string& aLine)
{
  mStream << aLine << "\r\n" << std::flush;
  std::string answer;
  for (std::string line; std::getline(mStream, line);) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (line.starts_with("READY")) {
      mReady = line;
      return answer;
    }
    answer += line + "\n";
  }
  return answer;
}

std::unique_ptr<Caller>
OpenWhenServed(std::uint16_t aPort,
               const std::string& aDatabase,
               const std::string& aKey)
{
  for (int n = 0; n < 60; ++n) {
    auto caller = std::make_unique<Caller>(aPort, aDatabase, aKey);
    if (caller->mWelcome.empty()) {
      return caller;
    }
    std::this_thread::sleep_for(50ms);
  }
  return nullptr;
}

}
