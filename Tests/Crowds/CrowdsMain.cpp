#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <stdexcept>
#include <string>
#include <thread>

#include <cxxopts.hpp>
#include <cxxtools/net/tcpstream.h>
#include <unistd.h>

#include "Cases.h"
#include "Crowd.h"
#include "GatewayProcess.h"
#include "SiteStandin.h"

// Sets a crowd of clients that do not behave on a gateway process and checks
// that the process lives, keeps within its memory and descriptors, and serves
// an ordinary request afterwards.
namespace camphorstep::crowds {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr std::uint16_t kSitePort = 23'000;
constexpr std::uint16_t kGatewayPort = 23'020;
constexpr std::size_t kBytesPerMb = 1024 * 1024;
/// The shares of its limits that a process may use at most.
constexpr std::size_t kMemoryPercent = 80;
constexpr std::size_t kDescriptorsPercent = 90;
/// A crowd acts until it has sent everything, or for this long, and then its
/// connections stand a while longer.
constexpr std::chrono::seconds kCrowdTime{ 12 };
constexpr std::chrono::seconds kStandingTime{ 2 };
/// How long the gateway has until it serves an ordinary request.
constexpr std::chrono::seconds kServiceTime{ 40 };
constexpr std::chrono::milliseconds kRetryPause{ 200 };
constexpr std::chrono::milliseconds kSampleInterval{ 20 };
const cxxtools::Milliseconds kAnswerTimeout(5'000.0);

struct Options
{
  std::string mProgram;
  std::string mFolder;
};

/// The most that a process was seen to use.
struct Peak
{
  std::size_t mBytes = 0;
  std::size_t mDescriptors = 0;
};

/// Sends bytes to a port and reads lines until one begins with a word; returns
/// all of them, or nothing if that line does not come.
std::string
Exchange(cxxtools::net::TcpStream& aStream,
         const std::string& aBytes,
         const std::string& aLastWord)
{
  aStream << aBytes << std::flush;
  std::string text;
  for (std::string line; std::getline(aStream, line);) {
    text += line + "\n";
    if (line.starts_with(aLastWord)) {
      return text;
    }
  }
  return {};
}

/// Runs one statement in a session of its own. Returns whether it succeeded.
bool
RunStatement(const std::string& aText)
{
  cxxtools::net::TcpStream stream("127.0.0.1", kGatewayPort);
  stream.socket().setTimeout(kAnswerTimeout);
  const std::string opened =
    Exchange(stream, "STARTUP " + kDatabase + " ordinary\r\n", "READY");
  return !opened.empty() &&
         Exchange(stream, "QUERY o " + aText + "\r\n", "READY")
             .find("COMPLETE sig-") != std::string::npos;
}

bool
IsReady()
{
  cxxtools::net::TcpStream stream(
    "127.0.0.1",
    static_cast<std::uint16_t>(kGatewayPort +
                               static_cast<int>(Listener::Readiness)));
  stream.socket().setTimeout(kAnswerTimeout);
  return Exchange(stream, "GET /readyz HTTP/1.1\r\n\r\n", "HTTP/1.1")
    .starts_with("HTTP/1.1 200");
}

/// Tries something until it succeeds or the time is over.
bool
TryUntil(Clock::time_point aEnd, const std::function<bool()>& aAttempt)
{
  while (Clock::now() < aEnd) {
    try {
      if (aAttempt()) {
        return true;
      }
    } catch (const std::exception&) {
      // Refused or reset; the gateway may serve the next attempt.
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  return false;
}

void
Note(const GatewayProcess& aGateway, Peak& aPeak)
{
  const ProcessUsage usage = aGateway.Usage();
  aPeak.mBytes = std::max({ aPeak.mBytes, usage.mBytes, usage.mPeakBytes });
  aPeak.mDescriptors = std::max(aPeak.mDescriptors, usage.mDescriptors);
}

/// Has a crowd act until it is done or its time is over.
void
Play(Crowd& aCrowd, GatewayProcess& aGateway, Peak& aPeak)
{
  const Clock::time_point latest = Clock::now() + kCrowdTime;
  Clock::time_point end = latest;
  Clock::time_point nextSample;
  while (Clock::now() < end && aGateway.IsAlive()) {
    if (!aCrowd.Advance()) {
      std::this_thread::sleep_for(1ms);
    }
    if (aCrowd.IsDone() && end == latest) {
      end = std::min(latest, Clock::now() + kStandingTime);
    }
    if (Clock::now() >= nextSample) {
      Note(aGateway, aPeak);
      nextSample = Clock::now() + kSampleInterval;
    }
  }
}

void
Check(bool aCondition, const std::string& aFailure, int& aFailures)
{
  if (!aCondition) {
    std::cout << "FAILED " << aFailure << "\n";
    ++aFailures;
  }
}

void
CheckService(GatewayProcess& aGateway, Peak& aPeak, int& aFailures)
{
  const Clock::time_point end = Clock::now() + kServiceTime;
  Check(TryUntil(end, [] { return RunStatement("READ small"); }),
        "an ordinary statement is not answered",
        aFailures);
  Check(TryUntil(end, IsReady), "readiness is not answered", aFailures);
  Check(TryUntil(end,
                 [] {
                   return RunStatement("WRITE item " +
                                       std::string(kLegalBytes, 'w'));
                 }),
        "a message of legal size is not served",
        aFailures);
  Note(aGateway, aPeak);
}

int
Run(const Case& aCase, const Options& aOptions)
{
  standin::SiteStandin site(kSitePort);
  site.Publish(1, { kDatabase });
  GatewayProcess gateway(aOptions.mProgram,
                         aOptions.mFolder + "/" + aCase.mName,
                         kGatewayPort,
                         kSitePort,
                         aCase.mLimits);
  const std::string large = std::string(kLargeItemBytes, 'l');
  if (!TryUntil(Clock::now() + kServiceTime, [&] {
        return RunStatement("WRITE " + kLargeItem + " " + large);
      })) {
    throw std::runtime_error("the gateway serves nothing before the crowd");
  }
  Peak peak;
  Note(gateway, peak);
  const std::size_t bytesBefore = peak.mBytes;
  int failures = 0;
  {
    Crowd crowd(static_cast<std::uint16_t>(kGatewayPort +
                                           static_cast<int>(aCase.mListener)),
                aCase.mBehaviour);
    Play(crowd, gateway, peak);
    std::cout << "sent_mb=" << crowd.SentBytes() / kBytesPerMb
              << " open=" << crowd.CountOpen() << "\n";
    if (aCase.mCrowdStays && gateway.IsAlive()) {
      CheckService(gateway, peak, failures);
    }
  }
  if (gateway.IsAlive()) {
    CheckService(gateway, peak, failures);
  }
  const std::size_t mostBytes =
    aCase.mLimits.mMemoryMb * kBytesPerMb * kMemoryPercent / 100;
  const std::size_t mostDescriptors =
    aCase.mLimits.mDescriptors * kDescriptorsPercent / 100;
  std::cout << "crowd=" << aCase.mName
            << " before_mb=" << bytesBefore / kBytesPerMb
            << " peak_mb=" << peak.mBytes / kBytesPerMb
            << " bound_mb=" << mostBytes / kBytesPerMb
            << " descriptors=" << peak.mDescriptors << " of " << mostDescriptors
            << "\n";
  Check(gateway.IsAlive(), "the process has ended", failures);
  Check(peak.mBytes <= mostBytes, "too much memory", failures);
  Check(peak.mDescriptors <= mostDescriptors, "too many descriptors", failures);
  return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
Main(int aCount, char** aArguments)
{
  cxxopts::Options options("camphorstep-crowds",
                           "Sets a crowd of clients that do not behave on a "
                           "gateway process.");
  auto add = options.add_options();
  add("help", "print this help");
  add("program", "the gateway's program", cxxopts::value<std::string>());
  add("folder",
      "where settings and logs go",
      cxxopts::value<std::string>()->default_value("crowd-logs"));
  add("crowd", "the crowd's name", cxxopts::value<std::string>());
  const cxxopts::ParseResult result = options.parse(aCount, aArguments);
  const std::vector<Case> cases = AllCases();
  if (result.count("program") == 0 || result.count("crowd") == 0) {
    std::cout << options.help() << "Crowds:\n";
    for (const Case& it : cases) {
      std::cout << "  " << it.mName << "\n";
    }
    return result.count("help") > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
  }
  const auto name = result["crowd"].as<std::string>();
  const auto it =
    std::find_if(cases.begin(), cases.end(), [&](const Case& aCase) {
      return aCase.mName == name;
    });
  if (it == cases.end()) {
    throw std::runtime_error("there is no crowd of that name");
  }
  return Run(*it,
             { result["program"].as<std::string>(),
               result["folder"].as<std::string>() });
}

}

}

int
main(int aCount, char** aArguments)
{
  try {
    return camphorstep::crowds::Main(aCount, aArguments);
  } catch (const std::exception& ex) {
    std::cerr << "camphorstep-crowds: " << ex.what() << "\n";
  }
  return EXIT_FAILURE;
}
