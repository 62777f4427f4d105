#include "Budget/MemoryBudget.h"

#include <algorithm>
#include <utility>

namespace camphorstep {

namespace {

/// The part of a budget that new holders cannot take.
constexpr std::size_t kKeptPercent = 25;

}

void
SetHeld(MemoryBudget& aBudget, std::uint64_t aHolder, std::size_t aBytes)
{
  if (aBytes == 0) {
    const auto it = aBudget.mHolders.find(aHolder);
    if (it != aBudget.mHolders.end()) {
      aBudget.mHeld -= it->second;
      aBudget.mHolders.erase(it);
    }
    return;
  }
  std::size_t& held = aBudget.mHolders[aHolder];
  aBudget.mHeld += aBytes - held;
  held = aBytes;
}

std::size_t
HeldBy(const MemoryBudget& aBudget, std::uint64_t aHolder)
{
  const auto it = aBudget.mHolders.find(aHolder);
  return it == aBudget.mHolders.end() ? 0 : it->second;
}

bool
IsOverdrawn(const MemoryBudget& aBudget)
{
  return aBudget.mLimit > 0 && aBudget.mHeld > aBudget.mLimit;
}

bool
TakesNewHolder(const MemoryBudget& aBudget)
{
  return aBudget.mLimit == 0 ||
         aBudget.mHeld < aBudget.mLimit / 100 * (100 - kKeptPercent);
}

std::optional<std::uint64_t>
LargestHolder(const MemoryBudget& aBudget)
{
  const auto largest =
    std::max_element(aBudget.mHolders.begin(),
                     aBudget.mHolders.end(),
                     [](const auto& aFirst, const auto& aSecond) {
                       return std::pair(aFirst.second, aFirst.first) <
                              std::pair(aSecond.second, aSecond.first);
                     });
  if (largest == aBudget.mHolders.end()) {
    return std::nullopt;
  }
  return largest->first;
}

}
