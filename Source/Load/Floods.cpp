#include "Load/Floods.h"

#include <algorithm>
#include <array>
#include <string>

#include "Load/Figures.h"
#include "Load/LinkControl.h"
#include "Load/Stream.h"

namespace camphorstep {

namespace {

constexpr std::size_t kRanks = 3;
constexpr double kFloodFactor = 10.0;
/// Callers that keep all slots of the primary busy in a closed loop.
constexpr std::size_t kCapacityCallers = 24;
constexpr std::size_t kFloodCallers = 480;
constexpr std::size_t kFloodThreads = 4;

/// The share of the capacity that each rank offers in ordinary times.
constexpr std::array kOrdinaryShares{ 0.30, 0.25, 0.10 };
/// The same when the most urgent rank floods: the others offer more than is
/// reserved for them.
constexpr std::array kGreedyShares{ 0.30, 0.30, 0.20 };

/// Writes, so that all work meets at the primary.
Stream
MakeStream(const LoadSettings& aSettings, std::size_t aRank, double aRate)
{
  Stream stream;
  stream.mToken = aSettings.mTokens.at(aRank);
  stream.mRate = aRate;
  stream.mMakeCall = [aRank, database = aSettings.mDatabase](
                       std::size_t, std::uint64_t aNumber) {
    Call call;
    call.mDatabase = database;
    call.mText =
      "put rank-" + std::to_string(aRank) + " " + std::to_string(aNumber);
    call.mWrite = true;
    return call;
  };
  return stream;
}

std::vector<Stream>
MakeStreams(const LoadSettings& aSettings,
            const std::array<double, kRanks>& aRates)
{
  std::vector<Stream> streams;
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    streams.push_back(MakeStream(aSettings, rank, aRates[rank]));
  }
  return streams;
}

double
SecondsOf(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Statements a second that the fleet completes when kept busy.
double
MeasureCapacity(const LoadSettings& aSettings, Duration aDuration)
{
  Stream stream = MakeStream(aSettings, 1, 0);
  stream.mCallers = kCapacityCallers;
  const StreamFigures figures =
    RunStreams(aSettings.mProxies, { stream }, aDuration, aSettings.mSeed)
      .front();
  return static_cast<double>(figures.mDone) / SecondsOf(aDuration);
}

std::array<double, kRanks>
ScaledRates(const std::array<double, kRanks>& aShares, double aCapacity)
{
  std::array<double, kRanks> rates = aShares;
  for (double& rate : rates) {
    rate *= aCapacity;
  }
  return rates;
}

/// What one run of the ordinary load and the flood showed.
struct FloodFigures
{
  double mCapacity = 0;
  std::vector<StreamFigures> mOrdinary;
  std::vector<StreamFigures> mFlooded;
  /// Bytes that crossed between the regions in each of the two.
  std::uint64_t mOrdinaryBytes = 0;
  std::uint64_t mFloodedBytes = 0;
};

/// Bytes that have crossed between the regions so far.
std::uint64_t
RegionBytes(const LoadSettings& aSettings)
{
  return ReadLinkBytes(aSettings.mLinks.back()).Total();
}

FloodFigures
RunFlood(const LoadSettings& aSettings,
         std::size_t aFloodingRank,
         const std::array<double, kRanks>& aShares)
{
  FloodFigures figures;
  MeasureCapacity(aSettings, aSettings.mDuration / 10); // opens connections
  figures.mCapacity = MeasureCapacity(aSettings, aSettings.mDuration / 4);
  const std::uint64_t before = RegionBytes(aSettings);
  std::array<double, kRanks> rates = ScaledRates(aShares, figures.mCapacity);
  figures.mOrdinary = RunStreams(aSettings.mProxies,
                                 MakeStreams(aSettings, rates),
                                 aSettings.mDuration,
                                 aSettings.mSeed + 1);
  const std::uint64_t between = RegionBytes(aSettings);
  figures.mOrdinaryBytes = between - before;
  rates[aFloodingRank] = kFloodFactor * figures.mCapacity;
  std::vector<Stream> streams = MakeStreams(aSettings, rates);
  streams[aFloodingRank].mCallers = kFloodCallers;
  streams[aFloodingRank].mThreads = kFloodThreads;
  figures.mFlooded = RunStreams(
    aSettings.mProxies, streams, aSettings.mDuration, aSettings.mSeed + 2);
  figures.mFloodedBytes = RegionBytes(aSettings) - between;
  return figures;
}

double
GoodputRatio(const LoadSettings& aSettings, const FloodFigures& aFigures)
{
  double done = 0;
  for (const StreamFigures& stream : aFigures.mFlooded) {
    done += static_cast<double>(stream.mDone);
  }
  return done / SecondsOf(aSettings.mDuration) / aFigures.mCapacity;
}

void
PrintCommon(const LoadSettings& aSettings,
            const FloodFigures& aFigures,
            std::size_t aFloodingRank)
{
  const StreamFigures& flood = aFigures.mFlooded[aFloodingRank];
  PrintFigure(aSettings, "capacity_s", aFigures.mCapacity);
  PrintFigure(aSettings,
              "flood_offered_s",
              static_cast<double>(flood.mOffered) /
                SecondsOf(aSettings.mDuration));
  PrintFigure(aSettings, "flood_unsent", static_cast<double>(flood.mUnsent));
  PrintFigure(
    aSettings, "flood_unanswered", static_cast<double>(flood.mUnanswered));
  PrintFigure(aSettings, "flood_done", static_cast<double>(flood.mDone));
  PrintFigure(aSettings, "goodput_ratio", GoodputRatio(aSettings, aFigures));
  PrintFigure(aSettings,
              "refusal_p99_ms",
              MillisecondsOf(PercentileOf(flood.mRefusalLatencies, 0.99)));
  PrintFigure(aSettings,
              "region_kbytes_s_unflooded",
              static_cast<double>(aFigures.mOrdinaryBytes) / 1'000 /
                SecondsOf(aSettings.mDuration));
  PrintFigure(aSettings,
              "region_kbytes_s",
              static_cast<double>(aFigures.mFloodedBytes) / 1'000 /
                SecondsOf(aSettings.mDuration));
}

/// Prints why calls of the ranks that do not flood failed.
void
PrintBystanders(const LoadSettings& aSettings,
                const FloodFigures& aFigures,
                std::size_t aFloodingRank)
{
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    if (rank != aFloodingRank) {
      PrintFailures(
        aSettings, "rank" + std::to_string(rank + 1), aFigures.mFlooded[rank]);
    }
  }
}

void
PrintUrgentLatency(const LoadSettings& aSettings, const FloodFigures& aFigures)
{
  const std::vector<Duration>& ordinary =
    aFigures.mOrdinary.front().mDoneLatencies;
  const std::vector<Duration>& flooded =
    aFigures.mFlooded.front().mDoneLatencies;
  PrintFigure(aSettings,
              "urgent_p50_unflooded_ms",
              MillisecondsOf(PercentileOf(ordinary, 0.5)));
  PrintFigure(
    aSettings, "urgent_p50_ms", MillisecondsOf(PercentileOf(flooded, 0.5)));
  const double unflooded = MillisecondsOf(PercentileOf(ordinary, 0.99));
  const double p99 = MillisecondsOf(PercentileOf(flooded, 0.99));
  PrintFigure(aSettings, "urgent_p99_unflooded_ms", unflooded);
  PrintFigure(aSettings, "urgent_p99_ms", p99);
  PrintFigure(aSettings, "urgent_p99_ratio", p99 / unflooded);
}

/// What a rank was given of the smaller of its offer and its reserved share.
double
KeptOf(const LoadSettings& aSettings,
       const FloodFigures& aFigures,
       std::size_t aRank)
{
  const StreamFigures& stream = aFigures.mFlooded[aRank];
  const double reserved = aSettings.mReservedPercents.at(aRank) / 100.0 *
                          aFigures.mCapacity * SecondsOf(aSettings.mDuration);
  const double due = std::min(reserved, static_cast<double>(stream.mOffered));
  return due > 0 ? static_cast<double>(stream.mDone) / due : 0.0;
}

}

void
RunFloodLow(const LoadSettings& aSettings)
{
  const std::size_t flooding = 2;
  const FloodFigures figures = RunFlood(aSettings, flooding, kOrdinaryShares);
  PrintCommon(aSettings, figures, flooding);
  PrintUrgentLatency(aSettings, figures);
  PrintBystanders(aSettings, figures, flooding);
  PrintFigure(aSettings, "urgent_success", figures.mFlooded[0].Success());
  PrintFigure(aSettings, "dispatch_success", figures.mFlooded[1].Success());
}

void
RunFloodUrgent(const LoadSettings& aSettings)
{
  const std::size_t flooding = 0;
  const FloodFigures figures = RunFlood(aSettings, flooding, kGreedyShares);
  PrintCommon(aSettings, figures, flooding);
  PrintBystanders(aSettings, figures, flooding);
  PrintFigure(aSettings, "rank2_kept", KeptOf(aSettings, figures, 1));
  PrintFigure(aSettings, "rank3_kept", KeptOf(aSettings, figures, 2));
  PrintFigure(
    aSettings,
    "rank2_p99_ms",
    MillisecondsOf(PercentileOf(figures.mFlooded[1].mDoneLatencies, 0.99)));
}

}
