#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include <cxxtools/eventloop.h>
#include <cxxtools/timer.h>

#include "HttpStandin.h"
#include "PromotionPort.h"
#include "Shell/Clock.h"

using namespace camphorstep;
using namespace std::chrono_literals;
using platform::PromotionPort;
using standin::HttpRequest;
using standin::HttpStandin;

namespace {

const Address kAddress{ "127.0.0.1", 18'998 };
constexpr unsigned kOk = 200;

/// Keeps what the port delivers.
class Sink : public GatewaySink
{
public:
  void Deliver(gateway::EventBody aEvent) override
  {
    mOutcomes.push_back(
      std::get<gateway::PromoteAnswered>(std::move(aEvent)).mOutcome);
  }

  std::vector<gateway::CallOutcome> mOutcomes;
};

/// The platform's side and a port, in one event loop.
struct Site
{
  Site()
    : mPlatform(mLoop,
                kAddress,
                [this](const HttpRequest& aRequest) {
                  mBodies.push_back(aRequest.mBody);
                  mPlatform.Answer(aRequest.mClient, kOk, "{}");
                })
    , mPort(std::make_unique<PromotionPort>(mLoop, mSink, kAddress))
  {
  }

  void Run(std::chrono::milliseconds aTime)
  {
    cxxtools::Timer timer;
    timer.setSelector(mLoop);
    cxxtools::connect(timer.timeout, mLoop, &cxxtools::EventLoop::exit);
    timer.after(cxxtools::Milliseconds(static_cast<double>(aTime.count())));
    mLoop.run();
  }

  void Order(const std::string& aServer, std::chrono::milliseconds aTime)
  {
    mPort->Carry(gateway::PromoteServer{ gateway::CallId{ 1 },
                                         "group",
                                         aServer,
                                         "h1",
                                         7,
                                         MonotonicNow() + aTime });
  }

  cxxtools::EventLoop mLoop;
  Sink mSink;
  std::vector<std::string> mBodies;
  HttpStandin mPlatform;
  std::unique_ptr<PromotionPort> mPort;
};

}

TEST_CASE("An order to promote is answered", "[Promotion]")
{
  Site site;
  site.Order("s2", 500ms);
  site.Run(200ms);
  CHECK(site.mSink.mOutcomes == std::vector{ gateway::CallOutcome::Ok });
  CHECK(site.mBodies ==
        std::vector<std::string>{ R"({"Service":"group","Id":"s2"})" });
}

TEST_CASE("An order to promote that was held up never arrives", "[Promotion]")
{
  Site site;
  site.mPlatform.SetHoldingUp(true);
  site.Order("s2", 200ms);
  site.Run(100ms);
  REQUIRE(site.mPlatform.CountHeldUp() == 1);
  SECTION("after its time is over")
  {
    site.Run(300ms);
    CHECK(site.mSink.mOutcomes == std::vector{ gateway::CallOutcome::Unknown });
  }
  SECTION("after its sender has ended")
  {
    site.mPort.reset();
    site.Run(100ms);
  }
  site.mPlatform.DeliverHeldUp();
  site.Run(100ms);
  CHECK(site.mBodies.empty());
}

TEST_CASE("An order to promote is given up without its timer", "[Promotion]")
{
  // Guards against a timer that a step of the time of day has put off.
  Site site;
  site.mPlatform.SetHoldingUp(true);
  site.Order("s2", 100ms);
  site.Run(50ms);
  std::this_thread::sleep_for(100ms);
  site.mPort->Flush();
  CHECK(site.mSink.mOutcomes == std::vector{ gateway::CallOutcome::Unknown });
}

TEST_CASE("An order to promote does not wait behind another", "[Promotion]")
{
  // Guards against orders that wait in the process until the lease is lost.
  Site site;
  site.mPlatform.SetHoldingUp(true);
  site.Order("s2", 1s);
  site.Run(100ms);
  site.mPlatform.SetHoldingUp(false);
  site.Order("s3", 1s);
  site.Run(200ms);
  CHECK(site.mBodies ==
        std::vector<std::string>{ R"({"Service":"group","Id":"s3"})" });
}

TEST_CASE("An order to promote is not sent after its time is over",
          "[Promotion]")
{
  // Guards against orders of a process that stood still.
  Site site;
  site.Order("s2", -1ms);
  site.Run(100ms);
  CHECK(site.mSink.mOutcomes == std::vector{ gateway::CallOutcome::Refused });
  CHECK(site.mBodies.empty());
}
