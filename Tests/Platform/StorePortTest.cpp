#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <vector>

#include <cxxtools/eventloop.h>
#include <cxxtools/timer.h>

#include "StorePort.h"
#include "StoreStandin.h"

using namespace camphorstep;
using namespace std::chrono_literals;
using gateway::CallOutcome;
using gateway::PromoterLease;

namespace {

const Address kAddress{ "127.0.0.1", 18'999 };

/// Keeps what the port delivers.
class Sink : public GatewaySink
{
public:
  void Deliver(gateway::EventBody aEvent) override
  {
    mWritten.push_back(std::get<gateway::StoreWritten>(std::move(aEvent)));
  }

  std::vector<gateway::StoreWritten> mWritten;
};

GatewaySettings
MakeSettings()
{
  GatewaySettings settings;
  settings.mStoreAddress = kAddress;
  return settings;
}

/// A store and a port, in one event loop.
struct Site
{
  /// Writes the lease and returns what came of it.
  gateway::StoreWritten Write(const PromoterLease& aLease)
  {
    const std::size_t before = mSink.mWritten.size();
    mPort.Carry(gateway::WriteLease{ gateway::CallId{ 1 }, aLease, {} });
    cxxtools::Timer timer;
    timer.setSelector(mLoop);
    cxxtools::connect(timer.timeout, mLoop, &cxxtools::EventLoop::exit);
    timer.after(cxxtools::Milliseconds(100.0));
    mLoop.run();
    REQUIRE(mSink.mWritten.size() == before + 1);
    return mSink.mWritten.back();
  }

  cxxtools::EventLoop mLoop;
  standin::StoreStandin mStore{ mLoop, kAddress };
  Sink mSink;
  platform::StorePort mPort{ mLoop, mSink, MakeSettings() };
};

}

TEST_CASE("A lease from before the store's return does not replace a later one",
          "[StorePort]")
{
  // Guards against a condition on a version that was given out again: the
  // former holder and the next one promoted with the same token.
  Site site;
  const auto first = site.Write({ "h1", 1, 1, 0 });
  REQUIRE(first.mOutcome == CallOutcome::Ok);
  site.mStore.KeepCopy();
  const auto lost = site.Write({ "h1", 1, 1, first.mVersion });
  REQUIRE(lost.mOutcome == CallOutcome::Ok);
  site.mStore.ReturnFromCopy();
  SECTION("once")
  {
    const auto returned =
      gateway::MakeStoreVersion(1, gateway::NumberOf(first.mVersion));
    const auto claim = site.Write({ "h2", 2, 1'000'001, returned });
    REQUIRE(claim.mOutcome == CallOutcome::Ok);
    REQUIRE(gateway::NumberOf(claim.mVersion) ==
            gateway::NumberOf(lost.mVersion));
    SECTION("and the later holder renews its own")
    {
      CHECK(site.Write({ "h2", 2, 1'000'001, claim.mVersion }).mOutcome ==
            CallOutcome::Ok);
    }
  }
  SECTION("twice")
  {
    site.mStore.ReturnFromCopy();
    const auto returned =
      gateway::MakeStoreVersion(2, gateway::NumberOf(first.mVersion));
    const auto claim = site.Write({ "h2", 2, 2'000'001, returned });
    REQUIRE(claim.mOutcome == CallOutcome::Ok);
  }
  CHECK(site.Write({ "h1", 1, 1, lost.mVersion }).mOutcome ==
        CallOutcome::Conflict);
}
