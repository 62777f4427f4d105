#include <benchmark/benchmark.h>

#include <malloc.h>

#include "CoreDriver.h"

namespace {

using namespace camphorstep;
using namespace camphorstep::benchmarks;

constexpr int kTicksPerSecond = 200;
constexpr int kTicksPerHeartbeat = 100;
/// The databases that the callers of one host use.
constexpr std::size_t kUsedDatabases = 300;
constexpr std::size_t kRequestsPerTick = 100;

std::size_t
AllocatedBytes()
{
  return ::mallinfo2().uordblks;
}

std::size_t
SizeOf(const benchmark::State& aState)
{
  return static_cast<std::size_t>(aState.range(0));
}

/// Uses databases until their views are there.
void
WarmUp(CoreDriver& aDriver, std::size_t aUsed)
{
  for (std::size_t n = 0; n < aUsed; ++n) {
    aDriver.Request(n % aDriver.Databases(), false);
  }
  for (int n = 0; n < kTicksPerSecond; ++n) {
    aDriver.Tick();
  }
}

/// A host's mixed work, requests and their answers, ticks, probes and
/// heartbeats, by the number of databases known.
void
EventsByDatabase(benchmark::State& aState)
{
  CoreDriver driver({ .mDatabases = SizeOf(aState) });
  const std::size_t used = std::min(kUsedDatabases, driver.Databases());
  WarmUp(driver, used);
  const std::uint64_t before = driver.Events();
  std::size_t next = 0;
  int ticks = 0;
  for (auto _ : aState) {
    driver.Tick();
    for (std::size_t n = 0; n < kRequestsPerTick; ++n) {
      driver.Request(next++ % used, n % 4 == 0);
    }
    if (++ticks % kTicksPerHeartbeat == 0) {
      driver.Heartbeats();
    }
  }
  aState.SetItemsProcessed(static_cast<std::int64_t>(driver.Events() - before));
}

/// The events of one request, by the number of hosts known.
void
RequestByHost(benchmark::State& aState)
{
  CoreDriver driver({ .mHosts = SizeOf(aState) });
  WarmUp(driver, driver.Databases());
  std::size_t next = 0;
  for (auto _ : aState) {
    driver.Request(next++ % driver.Databases(), false);
  }
}

/// One tick of an idle host, by the number of databases known.
void
TickByKnownDatabase(benchmark::State& aState)
{
  CoreDriver driver({ .mDatabases = SizeOf(aState) });
  for (auto _ : aState) {
    driver.Tick();
  }
}

/// One tick, its view requests and probes, by the databases in use.
void
TickByUsedDatabase(benchmark::State& aState)
{
  CoreDriver driver({ .mDatabases = SizeOf(aState) });
  WarmUp(driver, driver.Databases());
  int ticks = 0;
  for (auto _ : aState) {
    driver.Tick();
    if (++ticks % kTicksPerSecond == 0) {
      aState.PauseTiming();
      WarmUp(driver, driver.Databases());
      aState.ResumeTiming();
    }
  }
}

/// One tick and its share of the heartbeats, by the number of hosts.
void
TickByHost(benchmark::State& aState)
{
  CoreDriver driver({ .mHosts = SizeOf(aState), .mDatabases = 3 });
  int ticks = 0;
  for (auto _ : aState) {
    driver.Tick();
    if (++ticks % kTicksPerHeartbeat == 0) {
      driver.Heartbeats();
    }
  }
}

/// Putting a configuration into force, by the number of profiles.
void
ConfigureByProfile(benchmark::State& aState)
{
  CoreDriver driver({ .mProfiles = SizeOf(aState) });
  std::uint64_t version = 1;
  for (auto _ : aState) {
    driver.Configure(++version);
  }
}

/// Memory of a core with nothing in progress.
void
MeasureMemory(benchmark::State& aState, const Sizes& aSizes, std::size_t aUsed)
{
  for (auto _ : aState) {
    const std::size_t before = AllocatedBytes();
    CoreDriver driver(aSizes);
    WarmUp(driver, aUsed);
    aState.counters["bytes"] = static_cast<double>(AllocatedBytes() - before);
  }
}

void
MemoryByKnownDatabase(benchmark::State& aState)
{
  MeasureMemory(aState, { .mDatabases = SizeOf(aState) }, 0);
}

void
MemoryByUsedDatabase(benchmark::State& aState)
{
  MeasureMemory(aState, { .mDatabases = SizeOf(aState) }, SizeOf(aState));
}

void
MemoryByHost(benchmark::State& aState)
{
  MeasureMemory(aState, { .mHosts = SizeOf(aState) }, 0);
}

void
MemoryByProfile(benchmark::State& aState)
{
  MeasureMemory(aState, { .mProfiles = SizeOf(aState) }, 0);
}

/// Memory of requests that wait, one for each session underway.
void
MemoryByOpenRequest(benchmark::State& aState)
{
  for (auto _ : aState) {
    CoreDriver driver({ .mHosts = 1, .mDatabases = 1 });
    driver.mAnswersServers = false;
    const std::size_t before = AllocatedBytes();
    for (std::size_t n = 0; n < SizeOf(aState); ++n) {
      driver.Request(0, false);
    }
    aState.counters["bytes"] = static_cast<double>(AllocatedBytes() - before);
  }
}

/// Bytes a second that the core of a host sends to its peers.
void
MeasureWire(benchmark::State& aState, const Sizes& aSizes, std::size_t aUsed)
{
  constexpr int kSeconds = 2;
  for (auto _ : aState) {
    CoreDriver driver(aSizes);
    WarmUp(driver, aUsed);
    driver.mCountsWire = true;
    for (int n = 0; n < kSeconds * kTicksPerSecond; ++n) {
      driver.Tick();
      if (n % kTicksPerHeartbeat == 0) {
        driver.Heartbeats();
      }
    }
    aState.counters["bytes_s"] =
      static_cast<double>(driver.WireBytes()) / kSeconds;
  }
}

void
WireByHost(benchmark::State& aState)
{
  MeasureWire(aState, { .mHosts = SizeOf(aState), .mDatabases = 3 }, 0);
}

void
WireByUsedDatabase(benchmark::State& aState)
{
  MeasureWire(aState, { .mDatabases = SizeOf(aState) }, SizeOf(aState));
}

BENCHMARK(EventsByDatabase)->Arg(300)->Arg(1'000)->Arg(3'000)->Arg(10'000);
BENCHMARK(RequestByHost)->Arg(6)->Arg(100)->Arg(500)->Arg(2'200);
BENCHMARK(TickByKnownDatabase)->Arg(300)->Arg(1'000)->Arg(3'000)->Arg(10'000);
BENCHMARK(TickByUsedDatabase)->Arg(30)->Arg(100)->Arg(300)->Arg(1'000);
BENCHMARK(TickByHost)->Arg(6)->Arg(100)->Arg(500)->Arg(2'200);
BENCHMARK(ConfigureByProfile)->Arg(10)->Arg(100)->Arg(300)->Arg(1'000);
BENCHMARK(MemoryByKnownDatabase)
  ->Iterations(1)
  ->Arg(300)
  ->Arg(1'000)
  ->Arg(3'000)
  ->Arg(10'000);
BENCHMARK(MemoryByUsedDatabase)
  ->Iterations(1)
  ->Arg(30)
  ->Arg(100)
  ->Arg(300)
  ->Arg(1'000);
BENCHMARK(MemoryByHost)->Iterations(1)->Arg(6)->Arg(100)->Arg(500)->Arg(2'200);
BENCHMARK(MemoryByProfile)
  ->Iterations(1)
  ->Arg(10)
  ->Arg(100)
  ->Arg(300)
  ->Arg(1'000);
BENCHMARK(MemoryByOpenRequest)
  ->Iterations(1)
  ->Arg(10)
  ->Arg(20)
  ->Arg(40)
  ->Arg(80);
BENCHMARK(WireByHost)->Iterations(1)->Arg(6)->Arg(20)->Arg(60)->Arg(200);
BENCHMARK(WireByUsedDatabase)
  ->Iterations(1)
  ->Arg(3)
  ->Arg(10)
  ->Arg(30)
  ->Arg(100);

}

BENCHMARK_MAIN();
