#pragma once

#include <cstdint>
#include <map>

#include "Accounts/ClientAccount.h"

// Start-time fair queueing of the client accounts whose statements wait at a
// server with the same urgency: each account's next statement starts before any
// account's one after that. The flood of one account does not delay the others.

namespace camphorstep::gateway {

/// The turns of accounts in a queue.
struct AccountTurns
{
  /// The turn of the statement that was started last.
  std::uint64_t mCurrent = 0;
  /// The next turn of each account that has taken one.
  std::map<AccountId, std::uint64_t> mNext;
};

/// Takes the turn for a statement that enters the queue. Statements without an
/// account take turns like an account, but only while accounts compete with
/// them: otherwise all of them have the current turn, and stay in the order of
/// arrival.
std::uint64_t TakeTurn(AccountTurns& aTurns, AccountId aAccount);

/// Gives back the turn of a statement that leaves the queue without a start. It
/// can be used again only if the account has taken no later one.
void ReturnTurn(AccountTurns& aTurns, AccountId aAccount, std::uint64_t aTurn);

/// Notes the start of a statement. Accounts that were idle begin at its turn.
void StartTurn(AccountTurns& aTurns, std::uint64_t aTurn);

/// Notes that no statement waits: the accounts begin anew.
void EndTurns(AccountTurns& aTurns);

}
