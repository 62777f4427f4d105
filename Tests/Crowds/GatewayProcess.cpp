#include "GatewayProcess.h"

#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace camphorstep::crowds {

namespace {

/// Listening ports of the process.
constexpr std::uint16_t kPorts = 4;
constexpr std::size_t kBytesPerKb = 1024;
constexpr int kLogMode = 0644;
constexpr int kHexadecimal = 16;

std::string
AddressText(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

void
WriteSettings(const std::string& aPath,
              int aPort,
              int aSitePort,
              const ProcessLimits& aLimits)
{
  std::ofstream out(aPath);
  out << "[host]\nname = h1\ndata_centre = a\nmemory_mb = " << aLimits.mMemoryMb
      << "\ndescriptors = " << aLimits.mDescriptors
      << "\n[listen]\ncallers = " << AddressText(aPort)
      << "\nreadiness = " << AddressText(aPort + 1)
      << "\npeers = " << AddressText(aPort + 2)
      << "\nmetrics = " << AddressText(aPort + 3)
      << "\n[stop]\ngrace_ms = 2000\n[platform]\nstore = "
      << AddressText(aSitePort)
      << "\npromotions = " << AddressText(aSitePort + 1)
      << "\n[data_centre.a]\nregion = r\n";
}

/// Becomes the program; only calls what a forked thread may call.
[[noreturn]] void
Execute(char* const* aArguments, const char* aLog, std::size_t aDescriptors)
{
  const int log = ::open(aLog, O_WRONLY | O_CREAT | O_TRUNC, kLogMode);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  ::close(log);
  const rlimit limit{ aDescriptors, aDescriptors };
  ::setrlimit(RLIMIT_NOFILE, &limit);
  ::execv(aArguments[0], aArguments);
  ::_exit(127);
}

/// Reads a line "Name: 123 kB" of a process's status.
std::size_t
ReadKilobytes(const std::string& aStatus, const std::string& aName)
{
  const std::size_t at = aStatus.find(aName + ":");
  return at == std::string::npos
           ? 0
           : std::stoull(aStatus.substr(at + aName.size() + 1));
}

std::string
ReadFile(const std::string& aPath)
{
  std::ostringstream text;
  text << std::ifstream(aPath).rdbuf();
  return text.str();
}

/// The bytes that connections at some local ports have received and nobody has
/// read.
std::size_t
UnreadBytes(int aFirstPort, int aPorts)
{
  std::istringstream table(ReadFile("/proc/net/tcp"));
  std::string line;
  std::getline(table, line);
  std::size_t unread = 0;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    const int port =
      std::stoi(local.substr(local.find(':') + 1), nullptr, kHexadecimal);
    // The queue of a listener counts connections.
    const bool isListener = state == "0A";
    if (!isListener && port >= aFirstPort && port < aFirstPort + aPorts) {
      unread +=
        std::stoull(queues.substr(queues.find(':') + 1), nullptr, kHexadecimal);
    }
  }
  return unread;
}

}

GatewayProcess::GatewayProcess(const std::string& aProgram,
                               const std::string& aFolder,
                               std::uint16_t aFirstPort,
                               std::uint16_t aSitePort,
                               const ProcessLimits& aLimits)
  : mFirstPort(aFirstPort)
{
  std::filesystem::create_directories(aFolder);
  std::string settings = aFolder + "/gateway.ini";
  const std::string log = aFolder + "/gateway.log";
  WriteSettings(settings, aFirstPort, aSitePort, aLimits);
  std::string program = aProgram;
  std::string command = "gateway";
  std::string option = "--settings";
  char* const arguments[] = {
    program.data(), command.data(), option.data(), settings.data(), nullptr
  };
  mId = ::fork();
  if (mId < 0) {
    throw std::system_error(errno, std::generic_category(), aProgram);
  }
  if (mId == 0) {
    Execute(arguments, log.c_str(), aLimits.mDescriptors);
  }
}

GatewayProcess::~GatewayProcess()
{
  if (mId > 0) {
    ::kill(mId, SIGKILL);
    ::waitpid(mId, nullptr, 0);
  }
}

bool
GatewayProcess::IsAlive()
{
  if (mId > 0 && ::waitpid(mId, nullptr, WNOHANG) == mId) {
    mId = 0;
  }
  return mId > 0;
}

ProcessUsage
GatewayProcess::Usage() const
{
  const std::string folder = "/proc/" + std::to_string(mId);
  const std::string status = ReadFile(folder + "/status");
  ProcessUsage usage;
  usage.mPeakBytes = ReadKilobytes(status, "VmHWM") * kBytesPerKb;
  usage.mBytes = ReadKilobytes(status, "VmRSS") * kBytesPerKb +
                 UnreadBytes(mFirstPort, kPorts);
  std::error_code ec;
  for (std::filesystem::directory_iterator it(folder + "/fd", ec), end;
       !ec && it != end;
       it.increment(ec)) {
    ++usage.mDescriptors;
  }
  return usage;
}

}
