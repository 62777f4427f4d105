#include "Gateway/Timers.h"

namespace camphorstep::gateway {

void
Timers::Arm(TimerKind aKind, std::uint64_t aId, Instant aDue)
{
  Cancel(aKind, aId);
  const Key key{ aKind, aId };
  mQueue.emplace(aDue, key);
  mDue.emplace(key, aDue);
}

void
Timers::ArmSooner(TimerKind aKind, std::uint64_t aId, Instant aDue)
{
  const auto it = mDue.find({ aKind, aId });
  if (it == mDue.end() || aDue < it->second) {
    Arm(aKind, aId, aDue);
  }
}

void
Timers::Cancel(TimerKind aKind, std::uint64_t aId)
{
  const auto it = mDue.find({ aKind, aId });
  if (it == mDue.end()) {
    return;
  }
  mQueue.erase({ it->second, it->first });
  mDue.erase(it);
}

std::optional<Timers::Key>
Timers::TakeDue(Instant aNow)
{
  if (mQueue.empty() || mQueue.begin()->first > aNow) {
    return std::nullopt;
  }
  const Key key = mQueue.begin()->second;
  mQueue.erase(mQueue.begin());
  mDue.erase(key);
  return key;
}

std::optional<Instant>
Timers::Next() const
{
  if (mQueue.empty()) {
    return std::nullopt;
  }
  return mQueue.begin()->first;
}

}
