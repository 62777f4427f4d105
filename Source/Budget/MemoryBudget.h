#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace camphorstep {

/// A part of the process's memory, and how much of it each holder has.
struct MemoryBudget
{
  /// The most that all holders may have together, in bytes; 0 sets no limit.
  std::size_t mLimit = 0;
  std::size_t mHeld = 0;
  std::unordered_map<std::uint64_t, std::size_t> mHolders;
};

/// Sets what a holder has; 0 removes it.
void SetHeld(MemoryBudget& aBudget, std::uint64_t aHolder, std::size_t aBytes);

/// What a holder has, in bytes.
std::size_t HeldBy(const MemoryBudget& aBudget, std::uint64_t aHolder);

/// Whether the holders have more than the limit.
bool IsOverdrawn(const MemoryBudget& aBudget);

/// Whether a further holder may come. The last share of the budget is kept for
/// the ordinary work of those that are there.
bool TakesNewHolder(const MemoryBudget& aBudget);

/// The holder of the most bytes, and of several that have as many the newest;
/// nothing if there is none.
std::optional<std::uint64_t> LargestHolder(const MemoryBudget& aBudget);

}
