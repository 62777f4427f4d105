#include <catch2/catch.hpp>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <thread>

#include <cxxtools/net/tcpstream.h>

#include "Shell/GatewayRuntime.h"
#include "Standin/SiteStandin.h"
#include "platform/Adapter.h"

using namespace camphorstep;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t kSitePort = 18'960;
constexpr std::uint16_t kGatewayPort = 18'970;
const std::string kSettingsPath = "camphorstep-path-test.ini";

std::string
PortText(int aOffset)
{
  return "127.0.0.1:" + std::to_string(kGatewayPort + aOffset);
}

/// A gateway in a thread of its own.
class Gateway
{
public:
  Gateway()
  {
    std::ofstream out(kSettingsPath);
    out << "[host]\nname = h1\ndata_centre = a\n[listen]\ncallers = "
        << PortText(0) << "\nreadiness = " << PortText(1)
        << "\npeers = " << PortText(2) << "\nmetrics = " << PortText(3)
        << "\n[stop]\ngrace_ms = 2000\n[platform]\nstore = 127.0.0.1:"
        << kSitePort << "\npromotions = 127.0.0.1:" << kSitePort + 1
        << "\n[data_centre.a]\nregion = r\n";
    out.close();
    mRuntime =
      std::make_unique<GatewayRuntime>(kSettingsPath, platform::MakeAdapter);
    mThread = std::thread([this] { mRuntime->Run(); });
  }

  ~Gateway()
  {
    mRuntime->RequestStop();
    mThread.join();
    std::remove(kSettingsPath.c_str());
  }

  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

private:
  std::unique_ptr<GatewayRuntime> mRuntime;
  std::thread mThread;
};

/// A caller that waits for each answer.
class Caller
{
public:
  explicit Caller(const std::string& aDatabase)
    : mStream("127.0.0.1", kGatewayPort)
  {
    mStream.socket().setTimeout(cxxtools::Milliseconds(8000.0));
    mWelcome = Exchange("STARTUP " + aDatabase + " user");
  }

  /// Sends a query; gives the lines of the answer before its end.
  std::string Query(const std::string& aText)
  {
    return Exchange("QUERY q" + std::to_string(++mQueries) + " " + aText);
  }

  std::string mWelcome;
  /// The line that ended the last answer.
  std::string mReady;

private:
  std::string Exchange(const std::string& aLine)
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

  cxxtools::net::TcpStream mStream;
  int mQueries = 0;
};

/// Opens a session once the gateway serves the database.
std::unique_ptr<Caller>
OpenWhenServed(const std::string& aDatabase)
{
  for (int n = 0; n < 60; ++n) {
    auto caller = std::make_unique<Caller>(aDatabase);
    if (caller->mWelcome.empty()) {
      return caller;
    }
    std::this_thread::sleep_for(50ms);
  }
  return nullptr;
}

}

TEST_CASE("The whole path on the platform's stand-in", "[Path]")
{
  standin::SiteStandin site(kSitePort);
  site.Publish(3, { "main", "near" });
  const Gateway gateway;
  const auto caller = OpenWhenServed("main");
  REQUIRE(caller);

  CHECK(caller->Query("WRITE item one") == "COMPLETE sig-q1\n");
  CHECK(caller->Query("READ item") == "ROW one\nCOMPLETE sig-q2\n");

  // A transaction on one connection, with the caller's own names and values.
  CHECK(caller->Query("SET who me") == "COMPLETE -\n");
  CHECK(caller->Query("PREPARE s WRITE q") == "COMPLETE -\n");
  CHECK(caller->Query("BEGIN") == "COMPLETE -\n");
  CHECK(caller->mReady.starts_with("READY T"));
  CHECK(caller->Query("EXECUTE s item@me two") == "COMPLETE sig-q6\n");
  CHECK(caller->Query("COMMIT") == "COMPLETE sig-q7\n");
  CHECK(caller->mReady.starts_with("READY I 1."));

  // Another session on the same connections has no values.
  Caller other("near");
  CHECK(other.Query("READ item@") == "ROW \nCOMPLETE sig-q1\n");
  CHECK(other.Query("READ item@me").starts_with("ROW two\n"));
  site.Do([&] {
    // The last read has the wrong value on purpose; nothing else has.
    CHECK(site.Group().mViolations == std::vector<std::string>{ "item@me" });
    CHECK(site.Group().mEffects["item"] == 1);
    CHECK(site.Group().mEffects["item@me"] == 1);
  });

  SECTION("A new configuration is in force soon")
  {
    site.Publish(4, { "main", "near", "added" });
    CHECK(OpenWhenServed("added"));
  }
  SECTION("Configurations are in force after the store lost what it had "
          "acknowledged")
  {
    site.Do([&] { site.Store().KeepCopy(); });
    site.Publish(4, { "main", "near", "lost" });
    CHECK(OpenWhenServed("lost"));
    site.Do([&] { site.Store().ReturnFromCopy(); });
    CHECK(Caller("lost").mWelcome.empty());
    SECTION("when it has fewer versions than before")
    {
      site.Publish(7, { "main", "near", "added" });
    }
    SECTION("when it has given out the same versions again")
    {
      site.Publish(4, { "main", "near", "lost" });
      site.Publish(7, { "main", "near", "added" });
      for (int n = 0; n < 20; ++n) {
        site.Publish(7, { "main", "near", "added" });
      }
    }
    CHECK(OpenWhenServed("added"));
  }
  SECTION("A primary that dies is replaced, and nothing acknowledged is lost")
  {
    site.Do([&] { site.Group().Kill(0); });
    std::string answer;
    for (int n = 0; n < 10 && !answer.starts_with("ROW"); ++n) {
      answer = caller->Query("READ item@me");
    }
    CHECK(answer.starts_with("ROW two\n"));
    CHECK(caller->Query("WRITE item three").starts_with("COMPLETE"));
    CHECK_THAT(caller->mReady, Catch::StartsWith("READY I 2."));
  }
  SECTION("A database without a route is refused")
  {
    CHECK(Caller("nowhere").mWelcome.starts_with("ERROR NODATABASE"));
  }
}
