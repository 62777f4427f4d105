#include "Gateways.h"

#include <csignal>
#include <fstream>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include "Common/ScopeGuard.h"

namespace camphorstep::soak {

namespace {

/// Listening ports of one process: callers, readiness, peers, metrics.
constexpr std::uint16_t kPorts = 4;
/// Hosts stand in two data centres.
constexpr std::size_t kDataCentres = 2;
constexpr int kLogMode = 0644;

std::string
AddressText(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

}

Gateways::Gateways(std::string aProgram,
                   std::string aFolder,
                   std::size_t aCount,
                   std::uint16_t aFirstPort,
                   std::uint16_t aStorePort,
                   std::chrono::milliseconds aRevokeTimeout)
  : mProgram(std::move(aProgram))
  , mFolder(std::move(aFolder))
  , mFirstPort(aFirstPort)
  , mStorePort(aStorePort)
  , mProcesses(aCount)
{
  for (std::size_t n = 0; n < aCount; ++n) {
    const int port = mFirstPort + static_cast<int>(n) * kPorts;
    std::ofstream out(PathOf(n, ".ini"));
    out << "[host]\nname = h" << n
        << "\ndata_centre = " << (n % kDataCentres == 0 ? "a" : "b")
        << "\nprocessor_share = " << (n < kDataCentres ? "1" : "0.5")
        << "\n[listen]\ncallers = " << AddressText(port)
        << "\nreadiness = " << AddressText(port + 1)
        << "\npeers = " << AddressText(port + 2)
        << "\nmetrics = " << AddressText(port + 3)
        << "\n[stop]\ngrace_ms = 2000\n[accounts]\nrevoke_ms = "
        << aRevokeTimeout.count()
        << "\n[platform]\nstore = " << AddressText(mStorePort)
        << "\npromotions = " << AddressText(mStorePort + 1)
        << "\n[data_centre.a]\nregion = r\n[data_centre.b]\nregion = r\n";
    out.close();
    Start(n);
  }
}

Gateways::~Gateways()
{
  for (const Process& process : mProcesses) {
    if (process.mId > 0) {
      ::kill(process.mId, SIGKILL);
      ::waitpid(process.mId, nullptr, 0);
    }
  }
}

std::uint16_t
Gateways::CallerPort(std::size_t aGateway) const
{
  return static_cast<std::uint16_t>(mFirstPort + aGateway * kPorts);
}

void
Gateways::Signal(std::size_t aGateway, int aSignal) const
{
  const Process& process = mProcesses[aGateway];
  if (process.mId <= 0) {
    return;
  }
  process.mIsExpected =
    process.mIsExpected || aSignal == SIGKILL || aSignal == SIGTERM;
  ::kill(process.mId, aSignal);
}

std::vector<std::string>
Gateways::RestartEnded()
{
  std::vector<std::string> ended;
  for (std::size_t n = 0; n < mProcesses.size(); ++n) {
    int status = 0;
    if (::waitpid(mProcesses[n].mId, &status, WNOHANG) != mProcesses[n].mId) {
      continue;
    }
    if (!mProcesses[n].mIsExpected) {
      ended.push_back("h" + std::to_string(n) + " with status " +
                      std::to_string(status));
    }
    Start(n);
  }
  return ended;
}

void
Gateways::Start(std::size_t aGateway)
{
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  const ScopeGuard destroy(
    [&actions] { ::posix_spawn_file_actions_destroy(&actions); });
  const std::string log = PathOf(aGateway, ".log");
  ::posix_spawn_file_actions_addopen(&actions,
                                     STDOUT_FILENO,
                                     log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     kLogMode);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::string settings = PathOf(aGateway, ".ini");
  std::string program = mProgram;
  std::string command = "gateway";
  std::string option = "--settings";
  char* const arguments[] = {
    program.data(), command.data(), option.data(), settings.data(), nullptr
  };
  Process process;
  const int failed = ::posix_spawn(
    &process.mId, program.c_str(), &actions, nullptr, arguments, environ);
  if (failed != 0) {
    throw std::system_error(failed, std::generic_category(), mProgram);
  }
  mProcesses[aGateway] = process;
}

std::string
Gateways::PathOf(std::size_t aGateway, const char* aEnding) const
{
  return mFolder + "/h" + std::to_string(aGateway) + aEnding;
}

}
