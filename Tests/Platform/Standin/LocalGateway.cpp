#include "LocalGateway.h"

#include <chrono>
#include <cstdio>
#include <fstream>

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

}

LocalGateway::LocalGateway(std::uint16_t aFirstPort,
                           std::uint16_t aSitePort,
                           std::chrono::milliseconds aRevokeTimeout)
  : mSettingsPath("camphorstep-" + std::to_string(aFirstPort) + ".ini")
{
  std::ofstream out(mSettingsPath);
  out << "[host]\nname = h1\ndata_centre = a\n[listen]\ncallers = "
      << AddressText(aFirstPort)
      << "\nreadiness = " << AddressText(aFirstPort + 1)
      << "\npeers = " << AddressText(aFirstPort + 2)
      << "\nmetrics = " << AddressText(aFirstPort + 3)
      << "\n[stop]\ngrace_ms = 2000\n[accounts]\nrevoke_ms = "
      << aRevokeTimeout.count()
      << "\n[platform]\nstore = " << AddressText(aSitePort)
      << "\npromotions = " << AddressText(aSitePort + 1)
      << "\n[data_centre.a]\nregion = r\n";
  out.close();
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
