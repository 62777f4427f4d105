#include "Backend/AccountTurns.h"

#include <algorithm>

namespace camphorstep::gateway {

std::uint64_t
TakeTurn(AccountTurns& aTurns, AccountId aAccount)
{
  if (!aAccount && aTurns.mNext.empty()) {
    return aTurns.mCurrent;
  }
  std::uint64_t& next = aTurns.mNext[aAccount];
  const std::uint64_t turn = std::max(next, aTurns.mCurrent);
  next = turn + 1;
  return turn;
}

void
ReturnTurn(AccountTurns& aTurns, AccountId aAccount, std::uint64_t aTurn)
{
  const auto it = aTurns.mNext.find(aAccount);
  if (it != aTurns.mNext.end() && it->second == aTurn + 1) {
    it->second = aTurn;
  }
}

void
StartTurn(AccountTurns& aTurns, std::uint64_t aTurn)
{
  aTurns.mCurrent = std::max(aTurns.mCurrent, aTurn);
}

void
EndTurns(AccountTurns& aTurns)
{
  aTurns.mNext.clear();
}

}
