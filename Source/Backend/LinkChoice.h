#pragma once

#include <cstdint>
#include <span>

#include "Accounts/ClientAccount.h"
#include "Common/Time.h"
#include "Gateway/Ids.h"

namespace camphorstep::gateway {

/// The statements of one client account that wait at a server and have no idle
/// connection of the account.
struct LinkDemand
{
  AccountId mAccount;
  /// How many of them wait.
  std::uint32_t mWaiting = 0;
  /// How many connections are being opened for the account.
  std::uint32_t mOpening = 0;
  /// Arrival of the first of them.
  Instant mWaitingSince;
};

/// Chooses for which account the next connection is opened: the one with the
/// fewest openings, so that one account with many statements does not take all
/// openings; among equals the first. Accounts are in the order of their first
/// statements. Returns nullptr if each statement has its opening.
///
/// Load that this answers: statements of many accounts wait for connections to
/// one server at the same time.
LinkDemand* NextOpening(std::span<LinkDemand> aDemands);

/// Whether a statement that waits for a connection of its account may no longer
/// be overtaken by statements of accounts that have one.
bool EndsOvertaking(Instant aWaitingSince, Instant aNow);

/// An idle connection that may be closed for another account.
struct IdleLink
{
  LinkId mLink;
  AccountId mAccount;
  Instant mIdleSince;
  /// Whether statements of its account wait at the server too.
  bool mIsWanted = false;
};

/// Chooses the idle connection to close so that an account can open one: the
/// least recently used one of another account. One that is wanted by its own
/// account's statements, which can use it at once, is closed only for a
/// statement that has waited long enough. Returns no link if there is none.
///
/// Load that this answers: more accounts are in use than the server accepts
/// connections.
LinkId ChooseLinkToClose(std::span<const IdleLink> aIdleLinks,
                         const LinkDemand& aDemand,
                         Instant aNow);

}
