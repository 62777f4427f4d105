#include "PromotionFaults.h"

#include <algorithm>
#include <array>

namespace camphorstep::soak {

namespace {

constexpr std::uint64_t kPromotionsSeed = 0xfa11;
constexpr std::size_t kGapSpanMs = 800;
/// How long after the beginning of a fault the primary ends, at most.
constexpr std::size_t kKillSpanMs = 400;
/// How long a primary is away: long enough to be replaced, most times.
constexpr std::size_t kShortestAbsenceMs = 3'000;
constexpr std::size_t kAbsenceSpanMs = 1'500;
/// How long orders are held up, and the primary is away then: until another
/// host has held the lease and replaced the primary, most times.
constexpr std::size_t kShortestOrderMs = 6'500;
constexpr std::size_t kOrderSpanMs = 2'500;
/// How long other calls are held up.
constexpr std::size_t kShortestMs = 300;
constexpr std::size_t kSpanMs = 4'000;
/// How much later than the primary the holder of the lease ends: most times
/// after its order to promote.
constexpr std::size_t kShortestEndingMs = 2'300;
constexpr std::size_t kEndingSpanMs = 1'500;

constexpr std::array kKinds{
  FaultKind::HoldUpPromotions, FaultKind::HoldUpPromotions,
  FaultKind::HoldUpPromotions, FaultKind::HoldUpStore,
  FaultKind::RefusePromotions, FaultKind::LosePromotionAnswers,
  FaultKind::StoreWritesLate,  FaultKind::RepeatPromotions,
  FaultKind::HoldUpAnswers,
};
/// How the holder of the lease ends; it does not in a share of the cases.
constexpr std::array kEndings{ FaultKind::StopHolder,
                               FaultKind::StopHolder,
                               FaultKind::StopHolder,
                               FaultKind::KillHolder };

/// Draws faults one after another.
class Drawing
{
public:
  Drawing(std::vector<Fault>& aSchedule,
          std::uint64_t aSeed,
          std::chrono::milliseconds aLength,
          std::size_t aServers)
    : mSchedule(aSchedule)
    , mRandom(aSeed ^ kPromotionsSeed)
    , mLength(aLength)
    , mServers(aServers)
  {
  }

  /// Draws the faults of a change of primary. Returns when they end.
  std::chrono::milliseconds DrawChange(std::chrono::milliseconds aAt)
  {
    const FaultKind kind = kKinds.at(Draw(mRandom, kKinds.size()));
    const bool isOrder = kind == FaultKind::HoldUpPromotions;
    const auto duration = isOrder ? DrawTime(kShortestOrderMs, kOrderSpanMs)
                                  : DrawTime(kShortestMs, kSpanMs);
    const auto absence =
      isOrder ? duration : DrawTime(kShortestAbsenceMs, kAbsenceSpanMs);
    const auto killAt = aAt + DrawTime(0, kKillSpanMs);
    const auto endingAt = killAt + DrawTime(kShortestEndingMs, kEndingSpanMs);
    Add(aAt, kind, duration);
    Add(killAt, FaultKind::KillPrimary, absence);
    const std::size_t ending = Draw(mRandom, kEndings.size() + 1);
    if (ending < kEndings.size()) {
      Add(endingAt, kEndings.at(ending), 0ms);
    }
    if (isOrder) {
      Add(endingAt, FaultKind::LetPromotionsPass, 0ms);
    }
    return std::max(aAt + duration, killAt + absence);
  }

  std::chrono::milliseconds DrawTime(std::size_t aShortest, std::size_t aSpan)
  {
    return std::chrono::milliseconds(aShortest + Draw(mRandom, aSpan));
  }

private:
  /// Adds a fault. It ends no later than the run.
  void Add(std::chrono::milliseconds aAt,
           FaultKind aKind,
           std::chrono::milliseconds aDuration)
  {
    if (aAt < mLength) {
      mSchedule.push_back({ aAt,
                            aKind,
                            Draw(mRandom, mServers),
                            std::min(aDuration, mLength - aAt) });
    }
  }

  std::vector<Fault>& mSchedule;
  std::mt19937_64 mRandom;
  std::chrono::milliseconds mLength;
  std::size_t mServers;
};

}

void
AddPromotionFaults(std::vector<Fault>& aSchedule,
                   std::uint64_t aSeed,
                   std::chrono::milliseconds aLength,
                   std::size_t aServers)
{
  Drawing drawing(aSchedule, aSeed, aLength, aServers);
  for (auto at = 0ms; at < aLength;) {
    at = drawing.DrawChange(at + drawing.DrawTime(0, kGapSpanMs));
  }
}

}
